"""Run processes, traffic and faults from one seed, and return a verdict."""

import asyncio
import json
import time
from collections.abc import Coroutine
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from soak.calls import Caller
from soak.faults import Injector, draw_faults
from soak.ledger import Bounds, Ledger
from soak.site import Site, Sizes
from soak.traffic import TEAMS, Catalog, Traffic

_CAP_MILLICORES = 24_000
_START_TIMEOUT_S = 20.0
_SETTLE_TIMEOUT_S = 30.0
_POLL_S = 0.2
_THREADS = 64


class Durations(NamedTuple):
    """Store how long faults begin, and how long callers go on after them."""

    faults_s: float
    calm_s: float = 0


class Verdict(NamedTuple):
    """Store the result of a run; ``broken`` lists the rule violations."""

    seed: int
    broken: tuple[str, ...]
    faults: int
    jobs: int
    accepted: int
    done: int
    version: int


async def run_seed(
    seed: int,
    durations: Durations,
    folder: Path,
    sizes: Sizes,
    min_done: int = 0,
) -> Verdict:
    """Run a site under the faults that a seed yields, and check the rules.

    Callers go on until ``min_done`` jobs are done, or time out: on a starved
    machine, killed processes may take longer to start than faults last.
    """
    # Each caller, worker and operator may block a thread until its timeout.
    # With too few threads, requests would queue and look like network faults.
    asyncio.get_running_loop().set_default_executor(
        ThreadPoolExecutor(_THREADS)
    )
    caps = {team: _CAP_MILLICORES for team in TEAMS}
    ledger = Ledger(Bounds(), caps)
    site = Site(folder, sizes, ledger, seed)
    random = Random(seed)
    faults = draw_faults(seed, durations.faults_s)
    entries, controls = site.get_addresses()
    traffic = Traffic(ledger, Catalog(caps), entries, controls, random)
    with (folder / 'soak.log').open('a') as log:
        log_event = _make_event_log(log)
        ledger.log_event = log_event
        injector = Injector(site, traffic, ledger, log_event)
        try:
            version = await _run(
                site, traffic, injector.run(faults), durations, min_done
            )
        finally:
            await site.stop_all()
        for text in ledger.broken:
            log_event('broken', text=text)
    return _make_verdict(seed, ledger, len(faults), version)


async def _run(
    site: Site,
    traffic: Traffic,
    faults: Coroutine[Any, Any, None],
    durations: Durations,
    min_done: int,
) -> int:
    caller = Caller()
    await site.start_all()
    async with asyncio.timeout(_START_TIMEOUT_S):
        while not await traffic.put_catalog(caller, []):
            await asyncio.sleep(_POLL_S)
    tasks = _start_traffic(site, traffic)
    try:
        version = await _run_faults(
            traffic, caller, faults, durations, min_done
        )
    finally:
        for task in tasks:
            task.cancel()
    caller.close()
    traffic.ledger.finish(version)
    return version


async def _run_faults(
    traffic: Traffic,
    caller: Caller,
    faults: Coroutine[Any, Any, None],
    durations: Durations,
    min_done: int,
) -> int:
    async with asyncio.TaskGroup() as group:
        group.create_task(faults)
        group.create_task(asyncio.sleep(durations.faults_s))
    await asyncio.sleep(durations.calm_s)
    deadline_s = time.monotonic() + _SETTLE_TIMEOUT_S
    while _count_done(traffic.ledger) < min_done:
        if time.monotonic() >= deadline_s:
            break
        await asyncio.sleep(_POLL_S)
    while traffic.ledger.list_stopped():
        if time.monotonic() >= deadline_s:
            break
        await asyncio.sleep(_POLL_S)
    traffic.is_over = True
    deadline_s = time.monotonic() + _SETTLE_TIMEOUT_S
    while traffic.ledger.list_unfinished() and time.monotonic() < deadline_s:
        await asyncio.sleep(_POLL_S)
    await traffic.read_all_states()
    return await _read_final_version(traffic, caller, deadline_s)


def _start_traffic(site: Site, traffic: Traffic) -> list[asyncio.Task[None]]:
    jobs = [traffic.submit_jobs() for _ in range(site.sizes.callers)]
    announcements = [
        traffic.announce(worker) for worker in site.workers.values()
    ]
    leases = [traffic.check_leases(worker) for worker in site.workers.values()]
    others = [traffic.configure(), traffic.maintain(site.instances)]
    others.append(traffic.submit_long_running())
    others.append(traffic.submit_long_tasks())
    others.append(site.watch())
    return [
        asyncio.create_task(coroutine)
        for coroutine in (*jobs, *announcements, *leases, *others)
    ]


async def _read_final_version(
    traffic: Traffic,
    caller: Caller,
    deadline_s: float,
) -> int:
    while True:
        version = await traffic.read_catalog(caller)
        if version or time.monotonic() > deadline_s:
            return version
        await asyncio.sleep(_POLL_S)


def _make_event_log(log: Any) -> Any:
    def log_event(event: str, **details: Any) -> None:
        line = {'at': time.time(), 'event': event, **details}
        log.write(json.dumps(line) + '\n')
        log.flush()

    return log_event


def _make_verdict(
    seed: int, ledger: Ledger, faults: int, version: int
) -> Verdict:
    jobs = ledger.jobs.values()
    return Verdict(
        seed,
        tuple(ledger.broken),
        faults,
        len(jobs),
        sum(job.is_accepted for job in jobs),
        _count_done(ledger),
        version,
    )


def _count_done(ledger: Ledger) -> int:
    return sum(job.is_done for job in ledger.jobs.values())
