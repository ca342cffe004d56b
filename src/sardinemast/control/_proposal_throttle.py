"""Proposals under way, so that each is made once and again when lost."""

from sardinemast.control._sessions import Holder

_AGAIN_S = 1.0


class ProposalThrottle:
    """Know for whom something was proposed, and when."""

    def __init__(self) -> None:
        self._proposed_s: dict[Holder, float] = {}

    def take_turn(self, holder: Holder, now_s: float) -> bool:
        """Tell whether to propose now, and note it."""
        proposed_s = self._proposed_s.get(holder)
        if proposed_s is not None and now_s < proposed_s + _AGAIN_S:
            return False
        self._proposed_s[holder] = now_s
        return True

    def has_proposed(self, holder: Holder) -> bool:
        """Tell whether a proposal may be under way."""
        return holder in self._proposed_s

    def forget(self, holder: Holder) -> None:
        """Note that the proposal has been applied."""
        self._proposed_s.pop(holder, None)

    def clear(self) -> None:
        """Forget all at the start of a term."""
        self._proposed_s.clear()
