"""Cost of idempotency keys: claims between cores, requests at entries."""

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
    """Print the costs of a claim, then request rates and latencies."""
    _print_cores()
    _print_processes()


def _print_cores() -> None:
    cluster = _Cluster()
    started_s = time.perf_counter()
    for number in range(_CLAIMS):
        cluster.run_claim(number)
    claim_us = (time.perf_counter() - started_s) / _CLAIMS * 1e6
    traffic = cluster.traffic
    print(
        f'{_ENTRIES} cores, {_CLAIMS} claims: {claim_us:.0f} us a claim over '
        f'all entries, {traffic["messages"] / _CLAIMS:.1f} messages and '
        f'{traffic["bytes"] / _CLAIMS:.0f} bytes between entries'
    )


class _Cluster:
    def __init__(self) -> None:
        members = [Member(f'entry-{number}', 1) for number in range(_ENTRIES)]
        self.traffic: Counter[str] = Counter()
        self._cores = {one.entry: IdempotencyCore(one, 0) for one in members}
        self._undelivered: list[tuple[Member, SendToPeer]] = []
        self._decided: list[ClaimDecided] = []
        for view_number in range(1, _ENTRIES + 1):
            view = View(view_number, tuple(members[:view_number]))
            for member in members[:view_number]:
                self._feed(member, ViewChanged(view))
            # Entries vote only once the retention time has passed since they
            # joined, so the clock is set ahead and pending messages dropped.
        self._members = members
        self._now_s = 1000.0
        self._undelivered.clear()

    def run_claim(self, number: int) -> None:
        """Claim a key and end its request with an answer."""
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
                self._undelivered.append((member, output))

    def _deliver(self) -> None:
        while self._undelivered:
            sender, output = self._undelivered.pop(0)
            payload = cbor2.dumps(PEER_MESSAGES.pack(output.message))
            self.traffic['messages'] += 1
            self.traffic['bytes'] += len(payload)
            message = PEER_MESSAGES.unpack(cbor2.loads(payload))
            receiver = Member(output.entry, 1)
            self._feed(receiver, PeerReceived(sender, message))


def _print_processes() -> None:
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        ports, key = start_fleet(stack, folder, entry_count=3)
        for connections in (1, 32):
            for name, mode in (('no key', ''), ('a key each', 'keyed')):
                one = _measure(ports['entry'], connections, key, mode)
                print(
                    f'{connections:3} connections, {name:<10} '
                    f'{one["per_s"]:6.0f}/s  median {one["median_ms"]:6.2f} ms'
                    f'  p99 {one["p99_ms"]:6.2f} ms  refused {one["refused"]}'
                )


def _measure(port: int, connections: int, key: str, mode: str) -> Any:
    command = [sys.executable, '-m', 'bench._load', str(port)]
    options = [str(connections), str(_SECONDS), key, mode]
    finished = subprocess.run(
        [*command, *options], capture_output=True, check=True
    )
    return json.loads(finished.stdout)
