"""Builders of a small fleet's documents and states."""

from sardinemast.fleet import (
    ApplyDocument,
    AssignInstance,
    Command,
    FleetDocument,
    FleetState,
    GrantKey,
    Pool,
    Site,
    Team,
    apply_command,
    digest_key,
)
from sardinemast.membership import Announcement

KEY_DIGEST = digest_key('key-of-petits-pixels')


def make_document(limit: int = 3) -> FleetDocument:
    """Return a document with one site, one pool and one team."""
    return FleetDocument(
        sites={'rennes': Site('rennes', 'brittany')},
        pools={'enrolment': Pool('enrolment', slots=2)},
        teams={'petits-pixels': Team('petits-pixels', 1, limit)},
        site_pools={},
    )


def make_fleet(limit: int = 3) -> FleetState:
    """Return a state with a granted key and one assigned instance."""
    state = FleetState()
    commands: tuple[Command, ...] = (
        ApplyDocument('c1', 0, make_document(limit)),
        GrantKey('c2', 'k1', 'petits-pixels', KEY_DIGEST),
        AssignInstance('', 'enrol-1', 'enrolment'),
    )
    for index, command in enumerate(commands, start=1):
        apply_command(state, command, index)
    return state


def make_announcement(
    instance: str = 'enrol-1',
    port: int = 9001,
) -> Announcement:
    """Return the announcement of an upstream in the pool."""
    return Announcement(
        instance,
        1,
        'enrolment',
        '127.0.0.1',
        port,
        'rennes',
        'rack-1',
    )
