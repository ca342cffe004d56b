"""Cost of a claim: the cores alone, and real entries with and without keys."""

import json
import subprocess
import sys
import tempfile
import time
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import cbor2

from bench._fleet import start_fleet
from sardinemast.idempotency import (
    PEER_MESSAGES,
    ClaimDecided,
    ClaimOutcome,
    ClaimRequested,
    IdempotencyCore,
    Member,
    PeerReceived,
    RequestEnded,
    SendToPeer,
    StoredAnswer,
    View,
    ViewChanged,
)

_CLAIMS = 3000
_ENTRIES = 9
_SECONDS = 4.0
_ANSWER = StoredAnswer(200, 'OK', (('Content-Type', 'text/plain'),), b'x' * 200)


def main() -> None:
    """Print time, messages and bytes of a claim, then whole requests."""
    _print_cores()
    _print_processes()


def _print_cores() -> None:
    cluster = _Cluster()
    started_s = time.perf_counter()
    for number in range(_CLAIMS):
        cluster.run_claim(number)
    taken_us = (time.perf_counter() - started_s) / _CLAIMS * 1e6
    counts = cluster.counts
    print(
        f'{_ENTRIES} cores, {_CLAIMS} claims: {taken_us:.0f} us a claim over '
        f'all entries, {counts["messages"] / _CLAIMS:.1f} messages and '
        f'{counts["bytes"] / _CLAIMS:.0f} bytes between entries'
    )


class _Cluster:
    def __init__(self) -> None:
        members = [Member(f'entry-{number}', 1) for number in range(_ENTRIES)]
        self.counts: Counter[str] = Counter()
        self._cores = {one.entry: IdempotencyCore(one, 0) for one in members}
        self._bag: list[tuple[Member, SendToPeer]] = []
        self._decided: list[ClaimDecided] = []
        for joined in range(1, _ENTRIES + 1):
            view = View(joined, tuple(members[:joined]))
            for member in members[:joined]:
                self._feed(member, ViewChanged(view))
            # All that was asked of entries past is answered by the clock:
            # after the retention time each entry votes.
        self._members = members
        self._now_s = 1000.0
        self._bag.clear()

    def run_claim(self, number: int) -> None:
        """Claim a key, and end it with an answer."""
        member = self._members[number % _ENTRIES]
        key = number.to_bytes(32)
        self._feed(member, ClaimRequested(number, key, key, 10))
        self._deliver()
        assert self._decided.pop().verdict == 'granted'
        ended = RequestEnded(number, ClaimOutcome.answered, _ANSWER)
        self._feed(member, ended)
        self._deliver()

    def _feed(self, member: Member, event: Any) -> None:
        now_s = getattr(self, '_now_s', 0)
        for output in self._cores[member.entry].step(event, now_s):
            if isinstance(output, ClaimDecided):
                self._decided.append(output)
            else:
                self._bag.append((member, output))

    def _deliver(self) -> None:
        while self._bag:
            sender, sent = self._bag.pop(0)
            encoded = cbor2.dumps(PEER_MESSAGES.pack(sent.message))
            self.counts['messages'] += 1
            self.counts['bytes'] += len(encoded)
            message = PEER_MESSAGES.unpack(cbor2.loads(encoded))
            receiver = Member(sent.entry, 1)
            self._feed(receiver, PeerReceived(sender, message))


def _print_processes() -> None:
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        ports, key = start_fleet(stack, folder, entry_count=3)
        for connections in (1, 32):
            for name, option in (('no key', ''), ('a key each', 'keyed')):
                one = _measure(ports['entry'], connections, key, option)
                print(
                    f'{connections:3} connections, {name:<10} '
                    f'{one["per_s"]:6.0f}/s  median {one["median_ms"]:6.2f} ms'
                    f'  p99 {one["p99_ms"]:6.2f} ms  refused {one["refused"]}'
                )


def _measure(port: int, connections: int, key: str, option: str) -> Any:
    command = [sys.executable, '-m', 'bench._load', str(port)]
    options = [str(connections), str(_SECONDS), key, option]
    finished = subprocess.run(
        [*command, *options], capture_output=True, check=True
    )
    return json.loads(finished.stdout)
