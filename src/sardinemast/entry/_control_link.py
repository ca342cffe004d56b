"""The entry's side of the stream to the leader: state, lease, demand."""

from sardinemast.fleet import COMMANDS, FleetState, load_state, replay_command
from sardinemast.protocol import (
    NEEDS_STATE,
    GrantReturn,
    LeaseGranted,
    RenewLease,
    StateChanged,
    StateReplaced,
    TeamDemand,
)

RENEWAL_INTERVAL_S = 0.5
URGENT_INTERVAL_S = 0.02


class ControlLink:
    """Hold the state as the log has it, and the lease."""

    def __init__(self) -> None:
        self.state = FleetState()
        self._lease_until_s = float('-inf')
        self._awaited: LeaseGranted | None = None
        self._renewed_s = float('-inf')
        self._has_gap = False
        self._has_news = False

    @property
    def lease_until_s(self) -> float:
        """Give the moment at which the lease ends."""
        return self._lease_until_s

    def has_lease(self, now_s: float) -> bool:
        """Tell whether the leader surely still counts on this entry."""
        return now_s < self._lease_until_s

    def take_lease(self, granted: LeaseGranted) -> None:
        """Renew the lease; an older answer never shortens it.

        A lease that was given at a later index than this entry has is kept
        until the entry has caught up. With it the entry would serve by a
        state that the leader told an operator to be gone.
        """
        if granted.log_index > self.state.log_index:
            self._awaited = granted
            return
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
            self._has_gap = False
            self._note_news()

    def take_commands(self, changed: StateChanged) -> None:
        """Apply commands in the order of the log, each once.

        Where commands are missing before these, nothing is applied and the
        whole state is asked for: the rest would be right by its index and
        wrong by its content.
        """
        if changed.previous_index > self.state.log_index:
            self._has_gap = True
            return
        # One index may come as two commands, one for all entries and one for
        # this one, so each is compared with where the state was before.
        known_index = self.state.log_index
        for command in changed.commands:
            if command.log_index > known_index:
                self._apply(command.payload, command.log_index)
        self.state.log_index = max(self.state.log_index, changed.log_index)
        if changed.commands:
            self._note_news()
        self._take_awaited()

    def get_renewal(
        self,
        now_s: float,
        demands: tuple[TeamDemand, ...],
        returns: tuple[GrantReturn, ...],
        *,
        is_urgent: bool,
    ) -> RenewLease | None:
        """Give a renewal when one is due; news are acknowledged at once."""
        is_urgent = is_urgent or self._has_news
        interval_s = URGENT_INTERVAL_S if is_urgent else RENEWAL_INTERVAL_S
        if now_s < self._renewed_s + interval_s:
            return None
        self._renewed_s = now_s
        self._has_news = False
        return RenewLease(
            now_s,
            NEEDS_STATE if self._has_gap else self.state.log_index,
            demands,
            returns,
        )

    def _note_news(self) -> None:
        self._has_news = True
        self._take_awaited()

    def _take_awaited(self) -> None:
        awaited = self._awaited
        if awaited is not None and awaited.log_index <= self.state.log_index:
            self._awaited = None
            self.take_lease(awaited)

    def _apply(self, payload: bytes, index: int) -> None:
        if payload:
            replay_command(self.state, COMMANDS.decode(payload), index)
        self.state.log_index = index
