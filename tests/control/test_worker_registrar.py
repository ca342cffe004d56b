"""Announcements that are not a worker's to make, seen at the leader."""

from builders.call_leaders import CallLeader
from builders.workers import make_catalog, make_worker
from sardinemast.control import ProposalsDue
from sardinemast.dispatch import OrderOutcome, WorkerPolled
from sardinemast.jobs import Pool
from sardinemast.protocol import AnnounceWorker, CallOutcome, ReplaceCatalog

_UNKNOWN_POOL = 'zzz0'
_LEAVER = make_worker(0)
# Another life of the same instance, at the same address and elsewhere.
_SUCCESSOR = _LEAVER._replace(name='w-0-next', boot_ms=2)
_MOVED = _SUCCESSOR._replace(address='10.0.0.9:80')


def _make_leader() -> CallLeader:
    leader = CallLeader()
    leader.call(2, ReplaceCatalog(make_catalog(), b'{}'))
    return leader


def _list_workers(leader: CallLeader) -> list[str]:
    return list(leader.core.state.subsystems.jobs.workers)


def test_report_of_a_pool_without_name_takes_no_place() -> None:
    """Guard against runs that end since another writer named their worker."""
    leader = _make_leader()
    foreign = _MOVED._replace(pool=_UNKNOWN_POOL)
    leader.call(3, AnnounceWorker(foreign, 1))
    leader.call(4, AnnounceWorker(foreign._replace(name='w-0'), 2))
    assert {leader.answers[3], leader.answers[4]} == {CallOutcome.invalid}
    assert leader.core.state.subsystems.jobs.workers == {'w-0': _LEAVER}


def test_worker_is_registered_once_a_catalog_names_its_pool() -> None:
    """Guard against a new pool whose workers are refused for good."""
    leader = _make_leader()
    worker = make_worker(1)._replace(pool=_UNKNOWN_POOL)
    leader.call(3, AnnounceWorker(worker, 1))
    catalog = make_catalog(2)
    pools = (*catalog.pools, Pool(_UNKNOWN_POOL))
    leader.call(4, ReplaceCatalog(catalog._replace(pools=pools), b'{}'))
    leader.call(5, AnnounceWorker(worker, 2))
    assert leader.answers[5] is CallOutcome.done
    assert _list_workers(leader) == ['w-0', 'w-1']


def test_worker_outlasts_its_pool_in_the_catalog() -> None:
    """Guard against a drain that is not confirmed since the pool is gone."""
    leader = _make_leader()
    catalog = make_catalog(2)._replace(queues=(), pools=())
    leader.call(3, ReplaceCatalog(catalog, b'{}'))
    draining = make_worker(0, is_draining=True)
    leader.call(4, AnnounceWorker(draining, 2))
    assert leader.answers[4] is CallOutcome.done


def test_claim_to_a_place_is_refused_until_its_worker_is_gone() -> None:
    """Guard against a report that ends the runs of another worker."""
    leader = _make_leader()
    leader.call(3, AnnounceWorker(_MOVED, 1))
    assert leader.answers[3] is CallOutcome.refused
    assert _list_workers(leader) == ['w-0']


def test_successor_is_registered_as_soon_as_the_place_is_free() -> None:
    """Guard against a replaced worker that waits for its next announcement."""
    leader = _make_leader()
    leader.call(3, AnnounceWorker(_SUCCESSOR, 1))
    gone = WorkerPolled('w-0', 10**9, leader.now_s, OrderOutcome.gone)
    leader.step(gone)
    for _ in range(2):
        leader.step(ProposalsDue())
        leader.acknowledge()
    assert _list_workers(leader) == ['w-0-next']
