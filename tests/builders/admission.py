"""A leader's call handler whose log and wait estimates a test controls."""

from typing import Any

from builders.workers import (
    KEY,
    QUEUE,
    make_catalog,
    make_step,
)
from sardinemast.control import AnswerCall, ControlContext, JobAdmission
from sardinemast.control._call_handler import CallerId, CallHandler
from sardinemast.control._worker_registrar import WorkerHooks
from sardinemast.dispatch import AdmissionPolicy, LogDecision, WaitEstimate
from sardinemast.fleet import FleetState
from sardinemast.jobs import JobRequest, JobState, Step, apply_command
from sardinemast.jobs.commands import PutCatalog, SubmitJob
from sardinemast.protocol import CallAnswer, JobAction, JobCall

_MS = 1000
# Two seconds of slack, and a wait that is far longer.
FULL = WaitEstimate(9000, 2000, 3000, is_late=True)


class StubWaits:
    """Return the estimate that the test sets."""

    def __init__(self) -> None:
        self.found: WaitEstimate | None = None
        self.accepted: list[str] = []

    def estimate(self, job: JobState, now_s: float) -> WaitEstimate | None:
        """Return the estimate."""
        return self.found

    def record_accepted(self, job: JobState) -> None:
        """Note the name of the job."""
        self.accepted.append(job.name)


class AdmissionLeader:
    """Handle submissions; ``commit`` applies what was proposed."""

    def __init__(self, **policy: Any) -> None:
        self.now_s: float = 100
        self.waits = StubWaits()
        self.proposed: list[SubmitJob] = []
        self.outputs: list[Any] = []
        fleet = FleetState()
        self.state = fleet.subsystems.jobs
        apply_command(PutCatalog(make_catalog(), b''), self.state, 1)
        context = ControlContext(fleet, self.outputs, self._propose, 1)
        self.admission = JobAdmission(
            AdmissionPolicy(**{'enabled': True, **policy}),
            context,
            self.waits,  # type: ignore[arg-type]
        )

        def ignore(*worker: Any) -> None:
            """Pass over what concerns workers."""

        self.handler = CallHandler(
            context,
            WorkerHooks(ignore, ignore, ignore),
            self.admission,
        )
        self._call_id = 0

    def submit(
        self, name: str, *steps: Step, received_s: float | None = None
    ) -> CallAnswer | None:
        """Return the answer to a submission, or None if it is proposed."""
        self._call_id += 1
        request = JobRequest('spec', steps or (make_step(),))
        path = f'/{QUEUE}/{name}'
        call = JobCall(JobAction.submit, 'host', path, KEY, request)
        arrival_s = self.now_s if received_s is None else received_s
        caller = CallerId(1, self._call_id, arrival_s)
        self.handler.handle(caller, call, self.now_s, int(self.now_s * _MS))
        return self.find_answer(self._call_id)

    def find_answer(self, call_id: int) -> CallAnswer | None:
        """Return the answer to a call, if there is one."""
        for output in self.outputs:
            if isinstance(output, AnswerCall) and output.call_id == call_id:
                return output.answer
        return None

    def commit(self) -> None:
        """Apply all proposals."""
        for command in self.proposed:
            apply_command(command, self.state, 2)
            now_ms = int(self.now_s * _MS)
            self.handler.handle_applied(command, self.now_s, now_ms)
        self.proposed.clear()

    def count_events(self) -> int:
        """Return the number of refusals that were logged."""
        return sum(isinstance(one, LogDecision) for one in self.outputs)

    def _propose(self, command: Any, request_id: int, now_s: float) -> None:
        self.proposed.append(command)
