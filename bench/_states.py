"""Commands that build fleet states of a given size."""

from collections.abc import Iterable

from sardinemast.fleet import (
    ApplyDocument,
    AssignInstance,
    ChangeGrants,
    Command,
    FleetDocument,
    GrantChange,
    GrantKey,
    Pool,
    Site,
    Team,
    digest_key,
)


def make_teams(size: int) -> Iterable[Command]:
    """Return a command that declares teams."""
    teams = {f'team-{number}': Team(f'team-{number}') for number in range(size)}
    yield ApplyDocument('c', 0, FleetDocument({}, {}, teams, {}))


def make_pools(size: int) -> Iterable[Command]:
    """Return a command that declares pools."""
    pools = {f'pool-{number}': Pool(f'pool-{number}') for number in range(size)}
    yield ApplyDocument('c', 0, FleetDocument({}, pools, {}, {}))


def make_keys(size: int) -> Iterable[Command]:
    """Return commands that grant keys to one team."""
    yield make_document(1)
    for number in range(size):
        name = f'key-{number}'
        yield GrantKey('', name, 'team-0', digest_key(name))


def make_instances(size: int) -> Iterable[Command]:
    """Return commands that assign instances to one pool."""
    yield make_document(1)
    for number in range(size):
        yield AssignInstance('', f'instance-{number}', 'pool-0')


def make_grants(size: int) -> Iterable[Command]:
    """Return commands that grant one unit of each team to one entry."""
    yield make_document(size)
    for number in range(size):
        change = GrantChange('entry-1', 1, f'team-{number}', 1)
        yield ChangeGrants((change,))


def make_recent_commands(size: int) -> Iterable[Command]:
    """Return commands whose ids are kept to detect repeats."""
    yield make_document(1)
    for number in range(size):
        name = f'instance-{number % 4}'
        yield AssignInstance(f'{number:032d}', name, 'pool-0')


def make_document(teams: int) -> Command:
    """Return a command that declares a site, a pool and teams."""
    return ApplyDocument(
        'c',
        0,
        FleetDocument(
            {'site': Site('site', 'region')},
            {'pool-0': Pool('pool-0')},
            {
                f'team-{number}': Team(f'team-{number}', 1, 1000)
                for number in range(teams)
            },
            {},
        ),
    )
