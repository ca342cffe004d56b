"""Records that operators declare in files."""

from collections.abc import Mapping
from typing import NamedTuple


class Site(NamedTuple):
    """Declare a data centre and its region."""

    name: str
    region: str


class Pool(NamedTuple):
    """Declare a pool of instances that serve one service.

    ``run_bound_s`` limits how long a request may run at an upstream,
    ``budget_down`` how many instances may be down at once.
    """

    name: str
    slots: int = 8
    connections: int = 64
    run_bound_s: float = 30
    deadline_s: float = 10
    body_limit_bytes: int = 1024 * 1024
    budget_down: int = 1


class Team(NamedTuple):
    """Declare a team, its share of a full fleet and its limit."""

    name: str
    share: float = 1
    limit: int = 1


class FleetDocument(NamedTuple):
    """Hold everything that operators declare in files.

    ``site_pools`` maps a site to the pools as changed by its overlay.
    """

    sites: Mapping[str, Site]
    pools: Mapping[str, Pool]
    teams: Mapping[str, Team]
    site_pools: Mapping[str, Mapping[str, Pool]]


EMPTY_DOCUMENT = FleetDocument({}, {}, {}, {})
