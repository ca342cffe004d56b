"""What the leader knows of one worker by its own dealings with it."""

from typing import NamedTuple

from sardinemast.dispatch._events import ReportedRun
from sardinemast.dispatch._settings import DispatchSettings
from sardinemast.jobs import TaskKey, Worker

# Fences of one term stay below those of the next.
_FENCES_A_TERM = 1_000_000
_MS = 1000


class SentStart(NamedTuple):
    """Hold a start that was sent, and when the worker confirmed it."""

    number: int
    fence: int
    confirmed_s: float | None = None


class SentStop(NamedTuple):
    """Hold which run was told to stop, and when last."""

    number: int
    sent_s: float


class LookState:
    """Hold whether a look is under way, when the next is due, and misses.

    With ``has_doubt`` an order may be carried out yet, so that the fence is
    raised before the next look.
    """

    def __init__(self) -> None:
        self.is_sent = False
        self.has_doubt = False
        self.due_s = float('-inf')
        self.misses = 0


class Distrust:
    """Hold how often a worker failed in a row, and how long it is avoided."""

    def __init__(self) -> None:
        self.failures = 0
        self.until_s = float('-inf')


class EndCursor:
    """Hold how far a worker's numbered ends have come.

    Those up to ``noted`` are known here, up to ``proposed`` on their way into
    the log, and up to ``seen`` recorded.
    """

    def __init__(self) -> None:
        self.noted = 0
        self.proposed = 0
        self.seen = 0


class Contact:
    """Hold fence, clock, lease and lists of one boot of a worker.

    Orders of an earlier leader, and own orders without an answer, may reach
    the worker seconds later. The fence is raised before the next look, and
    once that is answered, none of them can be carried out any more.
    """

    def __init__(
        self,
        worker: Worker,
        term: int,
        settings: DispatchSettings,
        over_at_s: float,
    ) -> None:
        self.worker = worker
        self.fence = term * _FENCES_A_TERM
        self.is_synced = False
        self.is_leaving = False
        self.is_resting = False
        self.looks = LookState()
        self.ends = EndCursor()
        self.heard_s = float('-inf')
        self.announced_s = float('-inf')
        self.distrust = Distrust()
        self.sent: dict[TaskKey, SentStart] = {}
        self.listed: dict[TaskKey, ReportedRun] = {}
        self.stopping: dict[TaskKey, SentStop] = {}
        self.over_at_s = over_at_s
        self._settings = settings
        self._clock_ms = 0
        self._clock_at_s: float | None = None

    @property
    def has_clock(self) -> bool:
        """Tell whether the worker's clock is known."""
        return self._clock_at_s is not None

    def note_clock(self, clock_ms: int, now_s: float) -> None:
        """Take the worker's clock from an answer; it shows at least this."""
        if clock_ms > 0 and clock_ms >= self._get_clock_ms(now_s, fast=False):
            self._clock_ms = clock_ms
            self._clock_at_s = now_s

    def grant(self, now_s: float) -> int:
        """Give the end of a new lease on the worker's clock, and note it.

        The worker's clock may be slow, so that in our time the lease lasts
        longer than it says.
        """
        lease_ms = self._settings.lease_ms
        since_s = now_s - (self._clock_at_s or now_s)
        longest_s = lease_ms / _MS + since_s * self._settings.drift
        over_s = now_s + longest_s / (1 - self._settings.drift)
        self.over_at_s = max(self.over_at_s, over_s + self._settings.margin_s)
        return self._get_clock_ms(now_s, fast=True) + lease_ms

    def restart(self, worker: Worker, now_s: float) -> None:
        """Begin anew with a later boot at the same name.

        A start that crossed the restart may have reached the new boot, with
        an end of lease meant for the old clock. What may run there is told
        by a look under a higher fence, or ends with the longest lease.
        """
        self.worker = worker
        self.is_synced = False
        self.ends = EndCursor()
        self.listed = {}
        self._clock_ms = 0
        self._clock_at_s = None
        self.looks.has_doubt = True
        self.looks.due_s = now_s

    def raise_fence(self) -> None:
        """Make all orders sent so far void once the next look is answered."""
        self.fence += 1
        self.looks.has_doubt = False

    def is_usable(self, now_s: float, *, has_runs: bool) -> bool:
        """Tell whether new runs may be started here."""
        settings = self._settings
        quiet_s = settings.quiet_s if has_runs else settings.idle_quiet_s
        heard_s = max(self.heard_s, self.announced_s)
        return (
            self.is_synced
            and not self.worker.is_draining
            and not self.is_leaving
            and not self.is_resting
            and now_s >= self.distrust.until_s
            and now_s < heard_s + quiet_s
        )

    def _get_clock_ms(self, now_s: float, *, fast: bool) -> int:
        if self._clock_at_s is None:
            return 0
        rate = 1 if fast else 1 - self._settings.drift
        since_s = now_s - self._clock_at_s
        return self._clock_ms + int(since_s * rate * _MS)
