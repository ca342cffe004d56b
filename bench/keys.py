"""Key lookup at an entry: a plain set against a compact separator."""

import sys
import time
from collections.abc import Callable
from hashlib import sha256

from bench._separator import Separator
from sardinemast.fleet import (
    COMMANDS,
    FleetState,
    KeyRecord,
    WithdrawKey,
    find_team_by_key,
    replay_command,
)
from sardinemast.fleet import Team as DeclaredTeam
from sardinemast.protocol import CONTROL_MESSAGES, AppliedCommand, StateChanged

_COUNTS = (100, 10_000, 1_000_000)
_WITHDRAWN_SHARE = 0.01
_LOOKUPS = 20_000
_TEAMS = 370
_US_PER_S = 1_000_000


def main() -> None:
    """Print memory, lookup time and update size of both."""
    for count in _COUNTS:
        digests = [sha256(b'%d' % one).digest() for one in range(count)]
        _measure_plain_set(digests)
        _measure_separator(digests)


def _measure_plain_set(digests: list[bytes]) -> None:
    state = FleetState()
    teams = [f'team-{number}' for number in range(_TEAMS)]
    state.document = state.document._replace(
        teams={name: DeclaredTeam(name) for name in teams},
    )
    for number, digest in enumerate(digests):
        record = KeyRecord(f'key-{number}', teams[number % _TEAMS], digest)
        state.keys_by_id[record.key_id] = record
        state.keys_by_digest[digest] = record
    memory_bytes = sys.getsizeof(state.keys_by_id) + sum(
        sys.getsizeof(one) + sys.getsizeof(one.key_id) + sys.getsizeof(key)
        for key, one in state.keys_by_digest.items()
    )
    memory_bytes += sys.getsizeof(state.keys_by_digest)
    lookup_us = _measure_lookup_us(
        digests, lambda one: find_team_by_key(state, one)
    )
    unknown = [sha256(b'no %d' % one).digest() for one in range(_LOOKUPS)]
    accepted_count = sum(
        find_team_by_key(state, one) is not None for one in unknown
    )
    command = COMMANDS.encode(WithdrawKey('0' * 32, 'key-7'))
    message = StateChanged((AppliedCommand(7, command),), 6, 7)
    started_s = time.perf_counter()
    replay_command(state, COMMANDS.decode(command), 7)
    apply_us = (time.perf_counter() - started_s) * _US_PER_S
    print(
        f'{len(digests):9} keys  plain set  {memory_bytes:11} bytes  '
        f'{lookup_us:6.2f} us a look-up  '
        f'{len(CONTROL_MESSAGES.encode(message)):5} bytes a withdrawal  '
        f'{apply_us:7.1f} us to apply  '
        f'{accepted_count / _LOOKUPS:.4f} of unknown keys taken',
    )


def _measure_separator(digests: list[bytes]) -> None:
    withdrawn_count = max(1, int(len(digests) * _WITHDRAWN_SHARE))
    withdrawn, valid = digests[:withdrawn_count], digests[withdrawn_count:]
    separator = Separator(valid, withdrawn)
    refused_count = sum(map(separator.is_withdrawn, valid))
    lookup_us = _measure_lookup_us(digests, separator.is_withdrawn)
    unknown = [sha256(b'no %d' % one).digest() for one in range(_LOOKUPS)]
    accepted_count = sum(not separator.is_withdrawn(one) for one in unknown)
    changed_bytes = separator.withdraw(valid[0], valid[1:])
    print(
        f'{len(digests):9} keys  separator  {separator.memory_bytes:11} bytes  '
        f'{lookup_us:6.2f} us a look-up  {changed_bytes:5} bytes a withdrawal  '
        f'{accepted_count / _LOOKUPS:.4f} of unknown keys taken  '
        f'{refused_count} valid keys refused',
    )


def _measure_lookup_us(
    digests: list[bytes], look_up: Callable[[bytes], object]
) -> float:
    step = max(1, len(digests) // _LOOKUPS)
    sample = digests[::step]
    started_s = time.perf_counter()
    for digest in sample:
        look_up(digest)
    return (time.perf_counter() - started_s) * _US_PER_S / len(sample)
