"""Keep records of unreliable instances and limit what they run."""

from collections import OrderedDict
from typing import NamedTuple

from sardinemast.dispatch._settings import FailureDomainPolicy
from sardinemast.jobs import InstanceRecord, JobsState, StepKey, TaskKey
from sardinemast.jobs.commands import NoteInstanceRecords

# An order without an answer only counts against the instance if its rack is not
# suspected by then.
_HOLD_S = 1.5
_FLAP_MAX_S = 5.0
_HALF_LIFE_MS = 15_000
# Counts are held in hundredths; less than a twentieth is forgotten.
_UNIT = 100
_FORGOTTEN_BELOW = 5
# Troubles of the last seconds have decayed a little when the next ones come.
_ROUNDING = 50
_SUCCESSES_TO_TRUST = 5
# How many runs an instance on probation may have at a time.
RUNS_ON_PROBATION = 2
_PROPOSED_MAX = 64
_PROPOSAL_INTERVAL_S = 1.0
# Bounds the memory of which instances failed steps.
_FAILED_STEPS_MAX = 2000


class Transition(NamedTuple):
    """Describe that an instance came on probation or off it."""

    event: str
    instance: str
    troubles: float


class _HeldTrouble(NamedTuple):
    due_s: float
    instance: str
    kind: str


class InstanceRecords:
    """Count the troubles of instances, decide on probation and note both.

    The records are those of the log at the start of a term. Changes since the
    last proposal are lost with the leader. ``on_probation`` holds the
    instances that get few runs.
    """

    def __init__(self, policy: FailureDomainPolicy) -> None:
        self._policy = policy
        self.on_probation: set[str] = set()
        self._records: dict[str, InstanceRecord] = {}
        self._changed: dict[str, None] = {}
        self._held: list[_HeldTrouble] = []
        self._silent_since_s: dict[str, float] = {}
        self._failed_on: OrderedDict[StepKey, str] = OrderedDict()
        self._transitions: list[Transition] = []
        self._proposed_s = float('-inf')

    def start_term(self, state: JobsState) -> None:
        """Start with the records in the log."""
        is_enabled = self._policy.enabled
        self._records = dict(state.instance_records) if is_enabled else {}
        self.on_probation = {
            name
            for name, record in self._records.items()
            if record.successes_due
        }
        self._changed.clear()
        self.excuse_all()
        self._failed_on.clear()
        self._transitions.clear()

    def hold_trouble(self, instance: str, kind: str, now_s: float) -> None:
        """Count that an order was not answered, unless it is excused soon."""
        if instance:
            trouble = _HeldTrouble(now_s + _HOLD_S, instance, kind)
            self._held.append(trouble)

    def record_missed_poll(self, instance: str, now_s: float) -> None:
        """Record since when an instance has not answered polls."""
        if instance:
            self._silent_since_s.setdefault(instance, now_s)

    def record_return(self, instance: str, now_ms: int, now_s: float) -> None:
        """Count a flap if an instance answers soon after it missed a poll."""
        since_s = self._silent_since_s.pop(instance, float('-inf'))
        if now_s <= since_s + _FLAP_MAX_S:
            self._add(instance, 'flaps', now_ms)

    def excuse(self, instances: set[str]) -> None:
        """Disregard recent silence that the loss of a rack explains."""
        self._held = [
            one for one in self._held if one.instance not in instances
        ]
        for instance in instances:
            self._silent_since_s.pop(instance, None)

    def excuse_all(self) -> None:
        """Disregard recent silence, after a pause of this process."""
        self._held.clear()
        self._silent_since_s.clear()

    def record_failure(self, instance: str, task: TaskKey, now_ms: int) -> None:
        """Count a failed run, once for each step that failed nowhere else.

        Tasks of a step are alike: if one also fails on another instance, the
        step itself is likely at fault.
        """
        if not self._policy.enabled or not instance:
            return
        step = StepKey(*task[:-1])
        first = self._failed_on.get(step)
        if first is None:
            self._failed_on[step] = instance
            self._add(instance, 'failures', now_ms)
            if len(self._failed_on) > _FAILED_STEPS_MAX:
                self._failed_on.popitem(last=False)
        elif first and first != instance:
            self._failed_on[step] = ''
            self._add(first, 'failures', now_ms, -_UNIT)

    def record_success(self, instance: str) -> None:
        """Count a successful run of an instance on probation."""
        record = self._records.get(instance)
        if record is None or not record.successes_due:
            return
        due = record.successes_due - 1
        if not due:
            self._transitions.append(
                Transition('instance.trusted', instance, _sum_troubles(record))
            )
            # What it did before must not put it on probation again.
            record = InstanceRecord(instance, record.noted_ms)
        self._put(record._replace(successes_due=due))

    def tick(self, now_s: float, now_ms: int) -> None:
        """Count the silence that no loss of a rack has explained."""
        due = [one for one in self._held if now_s >= one.due_s]
        self._held = [one for one in self._held if now_s < one.due_s]
        for trouble in due:
            self._add(trouble.instance, trouble.kind, now_ms)

    def take_transitions(self) -> list[Transition]:
        """Return and discard the changes of probation to report."""
        transitions = self._transitions
        self._transitions = []
        return transitions

    def take_changed(self, now_s: float) -> NoteInstanceRecords | None:
        """Return the command that notes changed records, if one is due."""
        is_due = now_s >= self._proposed_s + _PROPOSAL_INTERVAL_S
        if not self._changed or not is_due:
            return None
        self._proposed_s = now_s
        names = tuple(self._changed)[:_PROPOSED_MAX]
        records = tuple(self._records[name] for name in names)
        for record in records:
            self._changed.pop(record.instance)
            if record.is_empty:
                self._records.pop(record.instance)
        return NoteInstanceRecords(records)

    def _add(
        self,
        instance: str,
        kind: str,
        now_ms: int,
        hundredths: int = _UNIT,
    ) -> None:
        known = self._records.get(instance, InstanceRecord(instance, now_ms))
        record = _decay(known, now_ms)
        count = max(getattr(record, kind) + hundredths, 0)
        record = record._replace(**{kind: count})
        limit = self._policy.probation_count
        troubles = _sum_troubles(record)
        is_untrusted = troubles * _UNIT + _ROUNDING >= limit * _UNIT
        if limit and is_untrusted and not record.successes_due:
            record = record._replace(successes_due=_SUCCESSES_TO_TRUST)
            self._transitions.append(
                Transition('instance.probation', instance, troubles)
            )
        self._put(record)

    def _put(self, record: InstanceRecord) -> None:
        if record.successes_due:
            self.on_probation.add(record.instance)
        else:
            self.on_probation.discard(record.instance)
        self._records[record.instance] = record
        self._changed[record.instance] = None


def _decay(record: InstanceRecord, now_ms: int) -> InstanceRecord:
    """Return a record as of now; a clock that was set back changes nothing."""
    elapsed_ms = max(now_ms - record.noted_ms, 0)
    factor = 0.5 ** (elapsed_ms / _HALF_LIFE_MS)
    return InstanceRecord(
        record.instance,
        max(now_ms, record.noted_ms),
        _shrink(record.failures, factor),
        _shrink(record.silences, factor),
        _shrink(record.unanswered, factor),
        _shrink(record.flaps, factor),
        record.successes_due,
    )


def _shrink(count: int, factor: float) -> int:
    shrunk = int(count * factor)
    return shrunk if shrunk >= _FORGOTTEN_BELOW else 0


def _sum_troubles(record: InstanceRecord) -> float:
    total = record.failures + record.silences + record.unanswered + record.flaps
    return total / _UNIT
