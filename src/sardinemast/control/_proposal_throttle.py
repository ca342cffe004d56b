"""Throttling of repeated proposals."""

from sardinemast.control._sessions import Holder

_RETRY_INTERVAL_S = 1.0


class ProposalThrottle:
    """Propose once for each holder, and again if the proposal is lost."""

    def __init__(self) -> None:
        self._proposed_s: dict[Holder, float] = {}

    def try_start(self, holder: Holder, now_s: float) -> bool:
        """Return whether to propose now, and record the time if so."""
        proposed_s = self._proposed_s.get(holder)
        if proposed_s is not None and now_s < proposed_s + _RETRY_INTERVAL_S:
            return False
        self._proposed_s[holder] = now_s
        return True

    def is_pending(self, holder: Holder) -> bool:
        """Return whether a proposal may be pending."""
        return holder in self._proposed_s

    def discard(self, holder: Holder) -> None:
        """Discard a proposal that has been applied."""
        self._proposed_s.pop(holder, None)

    def clear(self) -> None:
        """Discard all proposals at the start of a term."""
        self._proposed_s.clear()
