"""The entry's side of the stream to the leader: state, lease, demand."""

from sardinemast.fleet import COMMANDS, FleetState, apply_command, load_state
from sardinemast.protocol import (
    GrantReturn,
    LeaseGranted,
    RenewLease,
    StateChanged,
    StateReplaced,
    TeamDemand,
)

RENEWAL_INTERVAL_S = 0.25
URGENT_INTERVAL_S = 0.02


class ControlLink:
    """Hold the state as the log has it, and the lease."""

    def __init__(self) -> None:
        self.state = FleetState()
        self._lease_until_s = float('-inf')
        self._renewed_s = float('-inf')

    def has_lease(self, now_s: float) -> bool:
        """Tell whether the leader surely still counts on this entry."""
        return now_s < self._lease_until_s

    def take_lease(self, granted: LeaseGranted) -> None:
        """Renew the lease; an older answer never shortens it."""
        self._lease_until_s = max(
            self._lease_until_s,
            granted.sent_at_s + granted.duration_s,
        )

    def take_state(self, replaced: StateReplaced) -> None:
        """Take the whole state, unless it is older than what is in force.

        A control process that lags could otherwise turn an accepted change
        back here, and a withdrawn key would work again.
        """
        if replaced.image.log_index >= self.state.log_index:
            self.state = load_state(replaced.image)

    def take_commands(self, changed: StateChanged) -> None:
        """Apply commands in the order of the log, each once."""
        for command in changed.commands:
            if command.log_index > self.state.log_index:
                self._apply(command.payload, command.log_index)

    def get_renewal(
        self,
        now_s: float,
        demands: tuple[TeamDemand, ...],
        returns: tuple[GrantReturn, ...],
        *,
        is_urgent: bool,
    ) -> RenewLease | None:
        """Give a renewal when one is due."""
        interval_s = URGENT_INTERVAL_S if is_urgent else RENEWAL_INTERVAL_S
        if now_s < self._renewed_s + interval_s:
            return None
        self._renewed_s = now_s
        return RenewLease(
            now_s,
            self.state.log_index,
            demands,
            returns,
        )

    def _apply(self, payload: bytes, index: int) -> None:
        if payload:
            apply_command(self.state, COMMANDS.decode(payload), index)
        self.state.log_index = index
