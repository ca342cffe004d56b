"""Refuse jobs that cannot end while they are of use to their callers."""

import math
import sys
import zlib
from typing import NamedTuple

from sardinemast.control._context import ControlContext
from sardinemast.control._refused_jobs import Refusal, RefusedJobs
from sardinemast.dispatch import (
    AdmissionPolicy,
    EventBudget,
    LogDecision,
    WaitEstimate,
    WaitEstimates,
)
from sardinemast.jobs import JobRequest, JobsState, JobState
from sardinemast.jobs.commands import SubmitJob
from sardinemast.protocol import CallAnswer, CallOutcome

_MS = 1000
_RETRY_MIN_S = 1
_RETRY_MAX_S = 30
# Retries are spread over half the wait again.
_SPREAD_SHARE = 0.5
_SPREAD_STEPS = 1000
# An entry gives up an attempt 2.5 s after its arrival. An attempt that has
# waited about as long has no caller any more, who may have sent another one.
_GIVEN_UP_S = 2.4
# Ended jobs are kept for 240 s after their first arrival, and callers are
# promised 120 s after their acceptance.
_FIRST_SEEN_MAX_MS = 60_000
# Logging each of some hundred refusals a second would displace other events.
_EVENTS_PER_S = 50


class _Reason(NamedTuple):
    """Hold why a job is refused."""

    text: str
    wait_s: float = 0
    allowed_s: float = 0


class JobAdmission:
    """Admit or refuse submitted jobs, and remember those that were refused."""

    def __init__(
        self,
        policy: AdmissionPolicy,
        context: ControlContext,
        waits: WaitEstimates,
    ) -> None:
        self._policy = policy
        self._context = context
        self._waits = waits
        self._refused = RefusedJobs()
        self._proposed: set[str] = set()
        self._budget = EventBudget(_EVENTS_PER_S)
        self._led_since_s: float = 0

    @property
    def refused_count(self) -> int:
        """Return the number of refused jobs that are remembered."""
        return len(self._refused)

    def start_term(self, now_s: float) -> None:
        """Discard the state of the previous term."""
        self._refused.clear()
        self._proposed.clear()
        self._led_since_s = now_s

    def handle_applied(self, name: str) -> None:
        """Record that a submission was applied."""
        self._proposed.discard(name)

    def admit(
        self, command: SubmitJob, received_s: float, now_s: float
    ) -> SubmitJob | CallAnswer:
        """Return the command to propose, or the refusal to answer.

        ``received_s`` is when an entry received this attempt. The job must be
        neither in the log nor proposed.
        """
        if not self._policy.enabled:
            return command
        refusal = self._refused.find(command.name, now_s)
        if refusal is not None:
            # The caller was told that this attempt never runs.
            if received_s <= refusal.refused_s:
                return refusal.answer
            earliest_ms = command.submitted_ms - _FIRST_SEEN_MAX_MS
            first_seen_ms = max(refusal.first_seen_ms, earliest_ms)
            command = command._replace(first_seen_ms=first_seen_ms)
        job = _make_job(command, self._state)
        is_estimated = _ends_by_itself(command.request)
        estimate = self._waits.estimate(job, now_s) if is_estimated else None
        reason = self._find_reason(estimate, received_s, now_s)
        if reason is not None:
            return self._refuse(command, reason, received_s, now_s)
        self._refused.discard(command.name)
        self._proposed.add(command.name)
        if is_estimated:
            self._waits.record_accepted(job)
        return command

    @property
    def _state(self) -> JobsState:
        return self._context.state.subsystems.jobs

    def _find_reason(
        self, estimate: WaitEstimate | None, received_s: float, now_s: float
    ) -> _Reason | None:
        wait_s = estimate.wait_ms / _MS if estimate else 0
        allowed_s = estimate.allowed_ms / _MS if estimate else 0
        if self._is_given_up(received_s, now_s):
            return _Reason('given up', wait_s, allowed_s)
        live_count = len(self._state.live) + len(self._proposed)
        if 0 < self._policy.max_live_jobs <= live_count:
            return _Reason('live jobs', wait_s, allowed_s)
        if estimate is None:
            return None
        slack_ms = max(estimate.slack_ms, 0)
        if estimate.wait_ms > self._policy.margin * slack_ms:
            return _Reason('wait', wait_s, allowed_s)
        return None

    def _is_given_up(self, received_s: float, now_s: float) -> bool:
        """Check whether an earlier leader may have refused the job since.

        That leader's refusals are not known here. It can have refused another
        attempt while this one waited, and its caller believed it.
        """
        is_earlier = received_s <= self._led_since_s
        return is_earlier and now_s >= received_s + _GIVEN_UP_S

    def _refuse(
        self,
        command: SubmitJob,
        reason: _Reason,
        received_s: float,
        now_s: float,
    ) -> CallAnswer:
        answer = CallAnswer(
            CallOutcome.overloaded,
            text=reason.text,
            retry_after_s=_get_retry_after_s(command.name, reason.wait_s),
        )
        waited_ms = int((now_s - received_s) * _MS)
        first_seen_ms = command.first_seen_ms or (
            command.submitted_ms - waited_ms
        )
        refusal = Refusal(first_seen_ms, now_s, answer)
        self._refused.put(command.name, refusal)
        self._log(command, reason, now_s)
        return answer

    def _log(self, command: SubmitJob, reason: _Reason, now_s: float) -> None:
        if not self._budget.take(now_s):
            return
        details: dict[str, str | float] = {
            'reason': reason.text,
            'pool': self._state.queues[command.queue].pool,
            'wait_s': round(reason.wait_s, 1),
            'allowed_s': round(reason.allowed_s, 1),
            'omitted': self._budget.pop_omitted(),
        }
        self._context.outputs.append(
            LogDecision('job.refused', command.name, details)
        )


def _make_job(command: SubmitJob, state: JobsState) -> JobState:
    """Return the job as it would be once the log has it."""
    job = JobState(
        command.name,
        state.queues[command.queue],
        command.team,
        command.request,
        sys.maxsize,
        command.first_seen_ms or command.submitted_ms,
    )
    job.open_occurrence(0)
    return job


def _ends_by_itself(request: JobRequest) -> bool:
    """Check that a job is neither scheduled nor has long-running steps."""
    if request.occurrences or not request.steps:
        return False
    return not any(step.is_long_running for step in request.steps)


def _get_retry_after_s(name: str, wait_s: float) -> int:
    """Return the wait for capacity, spread over callers by job name."""
    if wait_s <= _RETRY_MIN_S:
        return _RETRY_MIN_S
    wait_s = min(wait_s, _RETRY_MAX_S / (1 + _SPREAD_SHARE))
    share = zlib.crc32(name.encode()) % _SPREAD_STEPS / _SPREAD_STEPS
    spread_s = share * max(wait_s * _SPREAD_SHARE, 1)
    return min(math.ceil(wait_s + spread_s), _RETRY_MAX_S)
