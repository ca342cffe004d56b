"""What operators declare, as checked records."""

from collections.abc import Mapping
from typing import NamedTuple


class Site(NamedTuple):
    """Name one data centre and the region it is in."""

    name: str
    region: str


class Pool(NamedTuple):
    """Declare a pool of instances that serve one service.

    ``run_bound_s`` is the longest time that a request may run at an
    upstream; ``budget_down`` is how many instances may be down at once.
    """

    name: str
    slots: int = 8
    connections: int = 64
    run_bound_s: float = 30
    deadline_s: float = 10
    body_limit_bytes: int = 1024 * 1024
    budget_down: int = 1


class Team(NamedTuple):
    """Declare a team, its share of a full fleet and its upper limit."""

    name: str
    share: float = 1
    limit: int = 1


class FleetDocument(NamedTuple):
    """Hold everything that operators declare in files.

    ``site_pools`` holds, by site, the pools as that site's overlay has them.
    """

    sites: Mapping[str, Site]
    pools: Mapping[str, Pool]
    teams: Mapping[str, Team]
    site_pools: Mapping[str, Mapping[str, Pool]]


EMPTY_DOCUMENT = FleetDocument({}, {}, {}, {})
