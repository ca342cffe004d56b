"""Session of the leader with one worker."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from sardinemast.dispatch._events import ReportedRun
from sardinemast.dispatch._settings import DispatchSettings
from sardinemast.dispatch._withheld_reasons import WithheldReason
from sardinemast.jobs import TaskKey, Worker

# Keeps all fences of a term below those of the next.
_FENCES_PER_TERM = 1_000_000
_MS = 1000
# By then a clock may have lost 0.6 s, an eighth of a lease.
_CLOCK_MAX_AGE_S = 30.0
# The drift of a clock since its last reading, and the time of an answer.
_CLOCK_ERROR_MS = 1000
# How long after a worker starts, orders for its earlier boot may be executed: a
# leader sends none to a worker silent for 4 s, and they may be 12 s late.
MISDIRECTED_MAX_S = 16.0


class NumberedRun(NamedTuple):
    """Identify a run of a task."""

    task: TaskKey
    number: int


class SentStart(NamedTuple):
    """Hold a start, when it was sent and when the worker confirmed it.

    Its lease was reckoned from ``least_clock_ms``, which the worker's clock
    showed at least. It ``is_settled`` once that lease is known to end when this
    leader expects.
    """

    number: int
    fence: int
    confirmed_s: float | None = None
    sent_s: float = float('-inf')
    least_clock_ms: int = 0
    is_settled: bool = False

    def is_continued(self, clock_ms: int) -> bool:
        """Check whether an answer is likely of the clock reckoned with.

        An answer does not name its boot.
        """
        return 0 <= clock_ms - self.least_clock_ms <= _CLOCK_ERROR_MS


class CordonReason(StrEnum):
    """Name what cordons a worker, and alone may release it."""

    maintenance = 'maintenance'
    move = 'move'


class Cordon(NamedTuple):
    """Hold since when a worker is cordoned, and for what.

    It ``is_binding`` once the instance may be taken at any moment.
    """

    since_s: float
    reason: CordonReason
    details: Mapping[str, str | int]
    is_binding: bool = False


class SentStop(NamedTuple):
    """Hold the run of the last stop that was sent for a task."""

    number: int
    sent_s: float


class PollState:
    """Hold the state of polling a worker.

    ``misses`` counts polls without an answer since the last one that had one.
    ``must_raise_fence`` is set when a sent order may still be executed; the
    next poll then uses a higher fence. ``sent_fence`` is that of the last poll.
    """

    def __init__(self) -> None:
        self.is_pending = False
        self.must_raise_fence = False
        self.sent_fence = 0
        self.due_s = float('-inf')
        self.misses = 0

    def replace_pending(self) -> None:
        """Let the next poll raise the fence without awaiting a pending one."""
        self.must_raise_fence = True
        self.is_pending = False


class FailureBackoff:
    """Hold a worker's consecutive failures and the end of its backoff."""

    def __init__(self) -> None:
        self.failures = 0
        self.until_s = float('-inf')


class EndCursor:
    """Hold the positions up to which a worker's ends are processed.

    Ends pass four stages: reported by the worker, proposed for the log,
    recorded in it, and acknowledged to the worker, which then forgets them.
    ``sent`` is the position that the last poll acknowledged.
    """

    def __init__(self) -> None:
        self.reported = 0
        self.proposed = 0
        self.recorded = 0
        self.acknowledged = 0
        self.sent = 0

    def send(self, *, is_responsive: bool) -> int:
        """Return the position that a poll acknowledges, 0 for none.

        A poll may reach a later boot, whose ends are numbered anew, and would
        make it forget ends that nobody has seen. So each position is sent no
        longer than needed, and to no worker that has stopped answering.
        """
        is_new = self.recorded > self.acknowledged
        self.sent = self.recorded if is_new and is_responsive else 0
        return self.sent

    def record_answer(self) -> None:
        """Record that the last poll was answered."""
        self.acknowledged = max(self.acknowledged, self.sent)


class WorkerSession:
    """Hold fence, clock, lease and reported runs of one boot of a worker.

    ``boot_ms`` is that boot. ``worker`` is what the worker last announced; if
    that was in an earlier boot, it may be outdated in all but its name.

    ``contested_s`` is since when another worker claims its place and it has
    not shown that it is still there.

    ``missing_runs`` holds the runs in the log that are missing from the last
    report and whose ends may be listed by a later one.

    Orders of earlier leaders, and own orders without an answer, may reach the
    worker late. Once it has answered a poll with a higher fence, it refuses
    them. ``is_synced`` is set once the worker has answered a poll of this term
    and its clock is known.

    ``last_granted_s`` is when the last order with a lease was sent, to this
    boot or an earlier one. ``has_earlier_orders`` is set while this boot may
    still execute orders for an earlier one.
    """

    def __init__(
        self,
        worker: Worker,
        term: int,
        settings: DispatchSettings,
        lease_ends_s: float,
    ) -> None:
        self.worker = worker
        self.boot_ms = worker.boot_ms
        self.fence = term * _FENCES_PER_TERM
        self.is_synced = False
        self.is_leaving = False
        self.contested_s: float | None = None
        self.cordon: Cordon | None = None
        self.poll_state = PollState()
        self.end_cursor = EndCursor()
        self.last_heard_s = float('-inf')
        self.last_announced_s = float('-inf')
        self.backoff = FailureBackoff()
        self.sent_starts: dict[TaskKey, SentStart] = {}
        self.reported_runs: dict[TaskKey, ReportedRun] = {}
        self.missing_runs: set[NumberedRun] = set()
        self.sent_stops: dict[TaskKey, SentStop] = {}
        self.lease_ends_s = lease_ends_s
        self.last_granted_s = float('-inf')
        self.has_earlier_orders = True
        self._earlier_runs: set[NumberedRun] = set()
        self._settings = settings
        self._clock_ms = 0
        self._clock_at_s: float | None = None

    @property
    def is_cordoned(self) -> bool:
        """Check whether the worker is kept free for a wave or a move."""
        return self.cordon is not None

    @property
    def is_announced(self) -> bool:
        """Check whether the current boot has announced itself.

        A worker that announces no boot cannot be told apart from its next one.
        """
        return not self.worker.boot_ms or self.worker.boot_ms == self.boot_ms

    @property
    def is_draining(self) -> bool:
        """Check whether the current boot has announced that it drains."""
        return self.is_announced and self.worker.is_draining

    @property
    def has_clock(self) -> bool:
        """Check whether the worker's clock is known."""
        return self._clock_at_s is not None

    def find_stop(self, task: TaskKey, number: int) -> SentStop | None:
        """Return the last stop that was sent for a run, if there is one."""
        last_stop = self.sent_stops.get(task)
        if last_stop is None or last_stop.number != number:
            return None
        return last_stop

    def find_start(self, run: NumberedRun) -> SentStart | None:
        """Return the start that was sent to this boot for a run, if any."""
        sent_start = self.sent_starts.get(run.task)
        if sent_start is None or sent_start.number != run.number:
            return None
        return sent_start

    def is_settled(self, run: NumberedRun) -> bool:
        """Check that a run's lease ends no later than ``lease_ends_s``.

        Otherwise, another boot of the worker may have executed the start.
        """
        reported = self.reported_runs.get(run.task)
        if reported is not None and reported.number == run.number:
            return True
        sent_start = self.find_start(run)
        if sent_start is not None and sent_start.is_settled:
            return True
        return run in self.missing_runs or run in self._earlier_runs

    def is_earlier_clock(self, clock_ms: int, at_s: float) -> bool:
        """Check whether a clock shows less than this boot's did at a time."""
        return 0 < clock_ms < self._get_least_clock_ms(at_s)

    def record_clock(self, clock_ms: int, now_s: float) -> None:
        """Record a reading of the worker's clock, unless it is outdated."""
        if clock_ms > 0 and clock_ms >= self._get_least_clock_ms(now_s):
            self._clock_ms = clock_ms
            self._clock_at_s = now_s

    def extend_lease(self, now_s: float) -> int:
        """Extend the lease and return its expiry on the worker's clock.

        The worker's clock shows at least the value from which the expiry is
        reckoned. So the lease never lasts longer than ``longest_lease_s``,
        however old the last reading of the clock is, and later leaders, which
        do not know that reading, need to wait no longer.
        """
        self.last_granted_s = now_s
        self.lease_ends_s = max(
            self.lease_ends_s,
            now_s + self._settings.longest_lease_s + self._settings.margin_s,
        )
        return self._get_least_clock_ms(now_s) + self._settings.lease_ms

    def record_report(self, clock_ms: int, now_s: float, now_ms: int) -> None:
        """Record a report of this boot, which obeys no earlier order."""
        self._earlier_runs.clear()
        if self.has_earlier_orders:
            self.has_earlier_orders = False
            self._extend_by_earlier_orders(clock_ms, now_s, now_ms)
        self.record_clock(clock_ms, now_s)
        self.end_cursor.record_answer()
        self.poll_state.misses = 0
        self.last_heard_s = now_s

    def needs_clock(self, now_s: float) -> bool:
        """Check whether the last reading of the worker's clock is too old.

        A lease is shorter by what the clock may have lost since then.
        """
        if self._clock_at_s is None:
            return False
        return now_s > self._clock_at_s + _CLOCK_MAX_AGE_S

    def restart(self, boot_ms: int, now_s: float) -> None:
        """Continue with a later boot of the worker.

        A start sent to the previous boot may have reached the new one, with a
        lease expiry on the old clock. A poll with a higher fence reveals such
        runs; otherwise they end when the longest lease that a worker permits
        has expired.
        """
        self.boot_ms = boot_ms
        self.is_synced = False
        self.has_earlier_orders = True
        # Shutdown and failures were those of the previous boot.
        self.is_leaving = False
        self.contested_s = None
        self.backoff = FailureBackoff()
        self.end_cursor = EndCursor()
        self._keep_settled_runs()
        self.reported_runs = {}
        self.missing_runs = set()
        # Answers to orders for the previous boot may still arrive; they say
        # nothing about this one, and their clock readings are of another clock.
        self.sent_starts = {}
        self.sent_stops = {}
        self._clock_ms = 0
        self._clock_at_s = None
        self.poll_state = PollState()
        self.poll_state.due_s = now_s
        self.raise_fence()
        self.poll_state.sent_fence = self.fence

    def raise_fence(self) -> None:
        """Void all orders sent so far, once the next poll is answered."""
        self.fence += 1
        self.poll_state.must_raise_fence = False

    def is_usable(self, now_s: float, *, has_runs: bool) -> bool:
        """Check whether new runs may be started on the worker."""
        return self.find_withheld_reason(now_s, has_runs=has_runs) is None

    def find_withheld_reason(
        self, now_s: float, *, has_runs: bool, is_last_resort: bool = False
    ) -> WithheldReason | None:
        """Return the first reason for which the worker gets no new runs.

        With ``is_last_resort``, precautions do not count: a backoff, and a
        cordon until its order is recorded.
        """
        reason = self._find_own_reason()
        if reason is not None:
            return reason
        if self.cordon is not None:
            if self.cordon.is_binding or not is_last_resort:
                return WithheldReason.cordoned
        if now_s < self.backoff.until_s and not is_last_resort:
            return WithheldReason.backing_off
        settings = self._settings
        quiet_s = settings.quiet_s if has_runs else settings.idle_quiet_s
        is_heard = (
            now_s < self.last_heard_s + quiet_s
            or now_s < self.last_announced_s + quiet_s
        )
        return None if is_heard else WithheldReason.silent

    def _extend_by_earlier_orders(
        self, clock_ms: int, now_s: float, now_ms: int
    ) -> None:
        """Extend the lease by what orders for an earlier boot may have granted.

        Their times are of another clock, so until now each of them granted the
        longest lease that the worker permits.
        """
        settings = self._settings
        # The wall clock that gave the boot time may have been set back.
        clock_s = clock_ms / _MS / (1 - settings.drift)
        boot_age_s = now_ms / _MS - self.boot_ms / _MS - settings.clock_doubt_s
        past_s = max(0, min(boot_age_s, clock_s) - MISDIRECTED_MAX_S)
        if not self.boot_ms:
            past_s = 0
        longest_s = settings.leases.get_longest_s(settings.drift)
        self.lease_ends_s = max(
            self.lease_ends_s, now_s + longest_s + settings.margin_s - past_s
        )

    def _keep_settled_runs(self) -> None:
        """Keep which runs the previous boot, and so no later one, executed."""
        self._earlier_runs |= self.missing_runs
        self._earlier_runs.update(
            NumberedRun(task, one.number)
            for runs in (self.reported_runs, self.sent_starts)
            for task, one in runs.items()
            if self.is_settled(NumberedRun(task, one.number))
        )

    def _find_own_reason(self) -> WithheldReason | None:
        """Return why the worker itself cannot take new runs, if it cannot."""
        if not self.is_synced:
            return WithheldReason.not_synced
        if not self.is_announced:
            return WithheldReason.not_announced
        if self.contested_s is not None:
            return WithheldReason.contested
        if self.is_draining:
            return WithheldReason.draining
        return WithheldReason.leaving if self.is_leaving else None

    def _get_least_clock_ms(self, at_s: float) -> int:
        """Return what the worker's clock shows at least at a time."""
        if self._clock_at_s is None:
            return 0
        since_s = at_s - self._clock_at_s
        # Before the reading, a clock may have run at full speed.
        rate = 1 - self._settings.drift if since_s > 0 else 1
        return self._clock_ms + int(since_s * rate * _MS)
