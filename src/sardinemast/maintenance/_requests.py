"""Requests to the platform, repeated until they are answered."""

from collections.abc import Iterable, Iterator

from sardinemast.maintenance._events import AskPlatform, PlatformAction
from sardinemast.maintenance._records import Condition, Instance, StepKind
from sardinemast.maintenance._state import MaintenanceState


class PlatformRequests:
    """Ask for what the log says, and note what was answered."""

    def __init__(self, ask_again_s: float) -> None:
        self._ask_again_s = ask_again_s
        self._asked_s: dict[str, float] = {}
        self._answered: set[str] = set()

    def clear(self) -> None:
        """Forget all; a new leader asks again with the same ids."""
        self._asked_s.clear()
        self._answered.clear()

    def note_answer(self, request_id: str) -> None:
        """Note that a request was carried out."""
        if request_id in self._asked_s:
            self._answered.add(request_id)

    def is_rebooted(self, instance: Instance) -> bool:
        """Tell whether the reboot of the instance's step was answered."""
        if instance.condition is not Condition.rebooting:
            return False
        return _get_id(PlatformAction.reboot, instance) in self._answered

    def ask(
        self,
        state: MaintenanceState,
        draining: Iterable[str],
        now_s: float,
    ) -> Iterator[AskPlatform]:
        """Ask for what is not answered yet.

        ``draining`` names the instances that say they take nothing new. One
        that the log has as serving missed the end of its drain, and would
        stand idle.
        """
        wanted = {
            request.request_id: request
            for request in _get_wanted(state, draining)
        }
        self._forget_all_but(wanted)
        for request_id, request in wanted.items():
            asked_s = self._asked_s.get(request_id)
            is_due = asked_s is None or now_s - asked_s >= self._ask_again_s
            if is_due and request_id not in self._answered:
                self._asked_s[request_id] = now_s
                yield request

    def _forget_all_but(self, wanted: dict[str, AskPlatform]) -> None:
        for request_id in tuple(self._asked_s):
            if request_id not in wanted:
                self._asked_s.pop(request_id)
                self._answered.discard(request_id)


def _get_wanted(
    state: MaintenanceState,
    draining: Iterable[str],
) -> Iterator[AskPlatform]:
    for instance in state.get_stepping():
        action = _get_action(instance)
        if action is not None:
            yield _make_request(action, instance)
    for name in draining:
        known = state.instances.get(name)
        if known is not None and known.condition is Condition.serving:
            yield _make_request(PlatformAction.serve, known)


def _get_action(instance: Instance) -> PlatformAction | None:
    step = instance.step
    if instance.condition is Condition.rebooting:
        return PlatformAction.reboot
    if instance.condition is Condition.moving:
        return PlatformAction.drain
    if instance.condition is Condition.draining and step is not None:
        is_readmission = step.kind is StepKind.readmit
        return None if is_readmission else PlatformAction.drain
    return None


def _make_request(
    action: PlatformAction,
    instance: Instance,
) -> AskPlatform:
    return AskPlatform(
        _get_id(action, instance),
        action,
        instance.name,
        _get_fence(instance),
    )


def _get_id(action: PlatformAction, instance: Instance) -> str:
    return f'{action}:{instance.name}:{_get_fence(instance)}'


def _get_fence(instance: Instance) -> int:
    if instance.step is None:
        return instance.changed_index
    return instance.step.log_index
