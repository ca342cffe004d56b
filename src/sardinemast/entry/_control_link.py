"""Follow the leader: replicated state and lease of one entry."""

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
    """Hold the replicated state and the entry's lease."""

    def __init__(self) -> None:
        self.state = FleetState()
        self._lease_until_s = float('-inf')
        self._deferred_lease: LeaseGranted | None = None
        self._renewed_at_s = float('-inf')
        self._has_gap = False
        self._has_unacked_change = False

    @property
    def lease_until_s(self) -> float:
        """Return the time at which the lease expires."""
        return self._lease_until_s

    def has_lease(self, now_s: float) -> bool:
        """Check whether the lease is valid."""
        return now_s < self._lease_until_s

    def handle_lease(self, granted: LeaseGranted) -> None:
        """Extend the lease; a delayed grant never shortens it.

        A lease granted at a higher log index than this entry has applied is
        deferred until the entry has caught up. Otherwise the entry would
        serve from a state that the leader has reported as replaced.
        """
        if granted.log_index > self.state.log_index:
            self._deferred_lease = granted
            return
        self._lease_until_s = max(
            self._lease_until_s,
            granted.sent_at_s + granted.duration_s,
        )

    def replace_state(self, replaced: StateReplaced) -> None:
        """Replace the whole state, unless the new one is older.

        A lagging control process could otherwise undo an accepted change
        here, such as the revocation of a key.
        """
        if replaced.image.log_index >= self.state.log_index:
            self.state = load_state(replaced.image)
            self._has_gap = False
            self._mark_changed()

    def apply_commands(self, changed: StateChanged) -> None:
        """Apply commands in log order, each once.

        If earlier commands are missing, nothing is applied and the whole
        state is requested; applying the rest would yield a wrong state at a
        valid index.
        """
        if changed.previous_index > self.state.log_index:
            self._has_gap = True
            return
        # Two commands may share an index, one for all entries and one for
        # this entry, so each is compared with the index before the batch.
        known_index = self.state.log_index
        for command in changed.commands:
            if command.log_index > known_index:
                self._apply(command.payload, command.log_index)
        self.state.log_index = max(self.state.log_index, changed.log_index)
        if changed.commands:
            self._mark_changed()
        self._apply_deferred_lease()

    def build_renewal(
        self,
        now_s: float,
        demands: tuple[TeamDemand, ...],
        returns: tuple[GrantReturn, ...],
        *,
        is_urgent: bool,
    ) -> RenewLease | None:
        """Return a renewal if one is due; state changes make it urgent."""
        is_urgent = is_urgent or self._has_unacked_change
        interval_s = URGENT_INTERVAL_S if is_urgent else RENEWAL_INTERVAL_S
        if now_s < self._renewed_at_s + interval_s:
            return None
        self._renewed_at_s = now_s
        self._has_unacked_change = False
        return RenewLease(
            now_s,
            NEEDS_STATE if self._has_gap else self.state.log_index,
            demands,
            returns,
        )

    def _mark_changed(self) -> None:
        self._has_unacked_change = True
        self._apply_deferred_lease()

    def _apply_deferred_lease(self) -> None:
        deferred = self._deferred_lease
        if deferred is not None and deferred.log_index <= self.state.log_index:
            self._deferred_lease = None
            self.handle_lease(deferred)

    def _apply(self, payload: bytes, index: int) -> None:
        if payload:
            replay_command(self.state, COMMANDS.decode(payload), index)
        self.state.log_index = index
