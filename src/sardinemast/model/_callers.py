"""Callers that submit jobs, and again by Retry-After when refused."""

from collections.abc import Callable

from sardinemast.control import ControlContext, JobAdmission
from sardinemast.dispatch import AdmissionPolicy, Dispatcher
from sardinemast.fleet import FleetState
from sardinemast.jobs import JobsState
from sardinemast.jobs.commands import SubmitJob
from sardinemast.model._clock import VirtualClock
from sardinemast.model._workload import Arrival
from sardinemast.protocol import CallAnswer

# A caller gives a job up after the first attempt and so many more, or once it
# has no more use for it.
_RETRIES_MAX = 4
_USEFUL_FACTOR = 3


class Callers:
    """Submit each arrival to the leader until it is accepted or given up."""

    def __init__(
        self,
        policy: AdmissionPolicy,
        clock: VirtualClock,
        state: JobsState,
        propose: Callable[[SubmitJob], None],
        get_now_ms: Callable[[], int],
    ) -> None:
        self.refusal_count = 0
        self._policy = policy
        self._clock = clock
        self._propose = propose
        self._get_now_ms = get_now_ms
        self._attempts: dict[str, int] = {}
        fleet = FleetState()
        fleet.subsystems = fleet.subsystems._replace(jobs=state)
        self._context = ControlContext(fleet, [], lambda *_: None, 0)
        self._admission: JobAdmission | None = None

    def set_leader(self, dispatcher: Dispatcher | None) -> None:
        """Submit to a new leader from now on, or wait for one."""
        self._admission = None
        if dispatcher is not None:
            self._admission = JobAdmission(
                self._policy, self._context, dispatcher.waits
            )
            self._admission.start_term(self._clock.now_s)

    def handle_applied(self, name: str) -> None:
        """Record that a submission was applied."""
        if self._admission is not None:
            self._admission.handle_applied(name)

    def submit(self, arrival: Arrival) -> None:
        """Attempt to submit a job; without a leader, keep the proposal."""
        now_s = self._clock.now_s
        command = SubmitJob(
            arrival.name,
            arrival.queue.name,
            arrival.team,
            arrival.request,
            self._get_now_ms(),
        )
        admitted: SubmitJob | CallAnswer = command
        if self._admission is not None:
            admitted = self._admission.admit(command, now_s, now_s)
        self._context.outputs.clear()
        if isinstance(admitted, SubmitJob):
            self._propose(admitted)
            return
        self.refusal_count += 1
        self._retry(arrival, now_s + admitted.retry_after_s)

    def _retry(self, arrival: Arrival, at_s: float) -> None:
        count = self._attempts.get(arrival.name, 0) + 1
        self._attempts[arrival.name] = count
        until_s = arrival.at_s + _USEFUL_FACTOR * arrival.allowed_s
        if count <= _RETRIES_MAX and at_s < until_s:
            self._clock.call_at(at_s, lambda: self.submit(arrival))
