"""Settings of the dispatcher: timeouts, leases and pool sizes."""

from typing import NamedTuple

from sardinemast.dispatch._admission_policy import AdmissionPolicy
from sardinemast.dispatch._lease_policy import LeasePolicy

_MS = 1000


class PoolPolicy(NamedTuple):
    """Configure how many workers a pool keeps.

    The baseline of a pool is the number of instances that it started with.

    Before its first peak, a pool keeps ``opening_share`` of its baseline,
    which carries the load until moved instances arrive. Workers beyond that
    are lent to other pools; if none needs them, they stay on for as long as
    late work at the start of a peak, which costs ``late_factor`` times as much
    as an idle worker, would cost more.

    During a peak its capacity is ``rise_factor`` times the demand; a shortfall
    below ``short_share`` of the capacity is left to tasks that finish. A pool
    never grows beyond ``most_factor`` times its baseline, plus the workers that
    its long-running tasks take. Between peaks it keeps capacity for
    ``calm_factor`` times its load, plus ``calm_spare`` workers. A worker may
    be moved once it has been idle for ``idle_s``.

    Shortly before an expected peak and at its start, a pool gets capacity for
    ``expected_factor`` times the demand at the start of the previous peak.
    """

    opening_share: float = 0.5
    late_factor: float = 7.0
    rise_factor: float = 1.15
    short_share: float = 0.15
    most_factor: float = 2.0
    calm_factor: float = 2.0
    calm_spare: int = 1
    idle_s: float = 1.0
    expected_factor: float = 1.1


class TeamShares(NamedTuple):
    """Configure how teams share a pool that lacks capacity.

    Of the capacity, ``late_share`` is for jobs that are late but still useful.
    With ``needs_excess``, a pool is divided only while jobs beyond the rate of
    their team wait there.
    """

    enabled: bool = False
    late_share: float = 0.1
    needs_excess: bool = True


class LearningPolicy(NamedTuple):
    """Configure what is learned from the ends of runs.

    A key with ``prior_ends`` ends counts as much as the coarser key, and the
    coarsest as much as the declared duration. Deadlines follow learned
    durations from ``deadline_ends`` ends on; with 0 they stay as declared.
    """

    enabled: bool = False
    prior_ends: float = 16
    deadline_ends: int = 50


class FailureDomainPolicy(NamedTuple):
    """Configure how lost racks and unreliable instances are recognised.

    With ``enabled``, a rack is suspected as soon as several of its workers
    became silent; the others get no new runs until they answer. An instance
    that caused trouble ``probation_count`` times lately gets few runs until
    some of them have succeeded; 0 puts none on probation.
    """

    enabled: bool = False
    probation_count: int = 3


class PreemptionPolicy(NamedTuple):
    """Configure when runs give way to waiting tasks.

    A task that has waited for ``wait_s`` may take the capacity of runs of a
    lower queue priority and of best-effort runs. A task gives way at most
    ``max_per_task`` times.
    """

    enabled: bool = False
    wait_s: float = 0.3
    max_per_task: int = 2


class DispatchSettings(NamedTuple):
    """Configure timeouts and leases of the dispatcher.

    A worker stops its runs when its lease of ``lease_ms`` expires. The lease
    outlasts a leader election and a few lost messages. A worker's clock may
    be slow by the fraction ``drift``; ``margin_s`` is added before the leader
    treats a lease as expired. A poll waits up to ``wait_ms`` for a run to
    end, or ``watch_ms`` on workers that run best-effort tasks beside
    latency-sensitive ones. A request times out after ``answer_s``, a start
    after ``start_answer_s``: workers answer it at once, and until it times out
    its task runs nowhere. Failed polls are retried after ``retry_s``, with a
    backoff up to ``retry_max_s``. A stop is repeated no sooner than after
    ``stop_again_s``.

    A worker that has been silent for ``quiet_s`` gets no new runs. Idle
    workers only send announcements, so ``idle_quiet_s`` applies to them. A
    worker that has been silent for ``forget_s`` is removed.

    A new leader sends no order for an instance for ``settle_s`` unless the
    log shows that the instance was not ordered for that long: an order of an
    earlier leader may still be in flight, and instances do not check fencing
    tokens. Wall clocks of two processes differ by at most ``clock_doubt_s``,
    jumps included.

    A worker is drained for at most ``empty_max_s`` before its instance is
    taken down. An unanswered maintenance order is repeated after
    ``order_again_s``. Maintenance of an instance counts as done after
    ``upkeep_max_s`` even if no worker has announced itself there. An instance
    that refuses maintenance and has been listed as down for ``lost_after_s``
    is given up.
    """

    lease_ms: int = 5000
    drift: float = 0.02
    wait_ms: int = 1000
    watch_ms: int = 300
    answer_s: float = 0.8
    start_answer_s: float = 0.3
    quiet_s: float = 1.9
    idle_quiet_s: float = 3.6
    stop_again_s: float = 0.5
    retry_s: float = 0.25
    retry_max_s: float = 2.0
    forget_s: float = 20.0
    margin_s: float = 0.3
    settle_s: float = 3.8
    clock_doubt_s: float = 4.5
    empty_max_s: float = 3.5
    order_again_s: float = 1.0
    upkeep_max_s: float = 8.0
    lost_after_s: float = 15.0
    pools: PoolPolicy = PoolPolicy()
    team_shares: TeamShares = TeamShares()
    learning: LearningPolicy = LearningPolicy()
    failure_domains: FailureDomainPolicy = FailureDomainPolicy()
    preemption: PreemptionPolicy = PreemptionPolicy()
    admission: AdmissionPolicy = AdmissionPolicy()
    leases: LeasePolicy = LeasePolicy()

    @property
    def longest_lease_s(self) -> float:
        """Return how long a lease lasts on the slowest clock of a worker."""
        return self.lease_ms / _MS / (1 - self.drift)
