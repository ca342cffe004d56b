"""Recognise the loss of a rack from its first silent workers.

Without this, each worker of a rack without power is sent starts until one of
its own times out, and each such start is unresolved until its lease expires.
"""

from collections import Counter, defaultdict
from collections.abc import Container
from typing import NamedTuple

from sardinemast.dispatch._events import StartAnswered, WorkerPolled
from sardinemast.dispatch._outcomes import OrderOutcome
from sardinemast.dispatch._polling import WorkerPoller
from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._worker_session import WorkerSession

_SILENT_OUTCOMES = frozenset((OrderOutcome.unknown, OrderOutcome.not_sent))
# A rack loses power at once, but its workers are asked at different times: a
# long poll times out up to 1.8 s after it was sent, a start after 0.3 s.
_WINDOW_S = 1.5
_SILENT_MIN = 2
_SILENT_SHARE = 0.25
# A rack without power returns after 5 to 8 s; then its workers have new boots.
_SUSPICION_MAX_S = 10.0
_CLEARED_SHARE = 0.5
# If control is cut off from a data centre, all its racks look lost.
_POOL_SHARE_MAX = 0.5
# Ticks are 0.02 s apart. A process that stood still longer than this may find
# answers and time-outs of the same orders at once.
_PAUSE_MIN_S = 0.25

# Share of the time-out of a start after which its answer is overdue. Workers
# answer within milliseconds.
_OVERDUE_SHARE = 1 / 3

_Rack = tuple[str, str]


class _Silence(NamedTuple):
    """Hold when a worker's first unanswered order was sent and timed out."""

    sent_s: float
    noticed_s: float


class _SuspectedRack:
    """Hold the workers of a suspected rack that have not answered since."""

    def __init__(self, workers: list[str], until_s: float) -> None:
        self.size = len(workers)
        self.unanswered = set(workers)
        self.until_s = until_s

    @property
    def is_answering(self) -> bool:
        """Check whether enough workers have answered to clear the rack."""
        answered_count = self.size - len(self.unanswered)
        return answered_count >= self.size * _CLEARED_SHARE


class FailureDomains:
    """Suspect racks whose workers became silent at the same time."""

    def __init__(self, state: DispatchState, poller: WorkerPoller) -> None:
        self._state = state
        self._poller = poller
        self._silences: dict[_Rack, dict[str, _Silence]] = defaultdict(dict)
        self._answered_s: dict[_Rack, float] = {}
        self._suspected: dict[_Rack, _SuspectedRack] = {}
        self._refused: set[_Rack] = set()
        self._term = 0
        self._ticked_s: float = 0
        self._resumed_s: float = 0

    @property
    def suspected_count(self) -> int:
        """Return the number of racks that are suspected to be lost."""
        return len(self._suspected)

    def detect_pause(self, now_s: float) -> None:
        """Disregard earlier terms, and silence before a pause of this process.

        Answers that arrived during the pause may be processed after the
        time-outs of their orders. A leader without a lease gets no ticks, so
        that it pauses as well.
        """
        if self._term != self._state.term:
            self._term = self._state.term
            self._answered_s.clear()
            self._suspected.clear()
            self._ticked_s = float('-inf')
        if now_s > self._ticked_s + _PAUSE_MIN_S:
            self._resumed_s = now_s
            self._silences.clear()
            self._state.instance_records.excuse_all()
            self._state.starts_in_flight.clear()

    def record_tick(self, now_s: float) -> None:
        """Record that this process leads and runs."""
        self.detect_pause(now_s)
        self._ticked_s = now_s
        settings = self._state.settings
        overdue_s = settings.start_answer_s * _OVERDUE_SHARE
        overdue = self._state.starts_in_flight.take_overdue(now_s - overdue_s)
        if settings.failure_domains.enabled:
            for name in overdue:
                self._handle_overdue(name, now_s)

    def tick(self, now_s: float) -> None:
        """Suspect and clear racks whose state has changed over time."""
        self._state.suspected.release_expired(now_s)
        for rack, suspected in tuple(self._suspected.items()):
            suspected.unanswered.intersection_update(self._state.sessions)
            if suspected.is_answering or now_s >= suspected.until_s:
                self._clear(rack, suspected)
        for rack, silences in tuple(self._silences.items()):
            for worker in silences.keys() - self._state.sessions.keys():
                silences.pop(worker)
            self._check_rack(rack, now_s)
        for rack in self._refused:
            self._probe_rack(rack, now_s)
        self._refused.clear()
        self._note_records(now_s)

    def record_answer(
        self,
        session: WorkerSession,
        event: WorkerPolled | StartAnswered,
        now_s: float,
    ) -> None:
        """Record whether a worker answered an order, before it is handled."""
        if not self._state.settings.failure_domains.enabled:
            return
        sent_s = _get_sent_s(session, event)
        if sent_s is None:
            return
        if event.outcome not in _SILENT_OUTCOMES:
            self._record_life(session, now_s)
            return
        is_poll = isinstance(event, WorkerPolled)
        if is_poll:
            self._state.suspected.end_probe(session.worker.name)
        if sent_s >= self._resumed_s and not self._is_leaving(session):
            self._record_trouble(session, is_poll=is_poll, now_s=now_s)
            is_new = self._record_silence(session, _Silence(sent_s, now_s))
            if is_new and event.outcome is OrderOutcome.not_sent:
                # Orders are not sent either while this process has no lease,
                # so the next tick decides.
                self._refused.add(_get_rack(session))
            elif is_new:
                self._check_rack(_get_rack(session), now_s)
                self._probe_rack(_get_rack(session), now_s)

    def _handle_overdue(self, worker: str, now_s: float) -> None:
        """Withhold starts from a worker that answers late, and from its rack.

        At the start of a peak, most starts would be sent before the first one
        times out.
        """
        session = self._state.sessions.get(worker)
        if session is None or self._state.suspected.is_withheld(worker):
            return
        until_s = now_s + self._state.settings.answer_s
        self._state.suspected.add_probed(worker, until_s)
        self._probe_rack(_get_rack(session), now_s)

    def _note_records(self, now_s: float) -> None:
        """Propose changed records and report changes of probation."""
        records = self._state.instance_records
        records.tick(now_s, self._state.now_ms)
        for event, instance, troubles in records.take_transitions():
            self._state.log(event, instance, troubles=round(troubles, 2))
        command = records.take_changed(now_s)
        if command is not None:
            self._state.propose(command)

    def _record_trouble(
        self,
        session: WorkerSession,
        *,
        is_poll: bool,
        now_s: float,
    ) -> None:
        """Record an unanswered order of an instance, first ones only."""
        rack, instance = _get_rack(session), session.worker.instance
        records = self._state.instance_records
        if rack in self._suspected:
            return
        if session.worker.name not in self._silences[rack]:
            kind = 'silences' if is_poll else 'unanswered'
            records.hold_trouble(instance, kind, now_s)
        if is_poll:
            records.record_missed_poll(instance, now_s)

    def _record_silence(
        self,
        session: WorkerSession,
        silence: _Silence,
    ) -> bool:
        """Record silence and return whether the worker was not silent yet."""
        silences = self._silences[_get_rack(session)]
        known = silences.setdefault(session.worker.name, silence)
        return known is silence

    def _record_life(self, session: WorkerSession, now_s: float) -> None:
        rack, name = _get_rack(session), session.worker.name
        self._answered_s[rack] = now_s
        self._state.instance_records.record_return(
            session.worker.instance, self._state.now_ms, now_s
        )
        self._silences[rack].pop(name, None)
        if self._state.suspected.release(name):
            self._state.needs_planning = True
        suspected = self._suspected.get(rack)
        if suspected is not None:
            suspected.unanswered.discard(name)
            if suspected.is_answering:
                self._clear(rack, suspected)

    def _is_leaving(self, session: WorkerSession) -> bool:
        """Check whether a worker is expected to become silent."""
        worker = session.worker
        return (
            session.is_leaving
            or session.is_cordoned
            or session.is_draining
            or worker.instance in self._state.moving
            or self._state.is_evacuated(worker)
        )

    def _check_rack(self, rack: _Rack, now_s: float) -> None:
        """Suspect a rack if enough of its workers became silent lately."""
        silences = self._silences[rack]
        recent = {
            name: silence
            for name, silence in silences.items()
            if now_s <= silence.noticed_s + _WINDOW_S
        }
        is_known = not rack[1] or rack in self._suspected
        if is_known or len(recent) < _SILENT_MIN:
            return
        members = self._list_members(rack, recent, now_s)
        if len(recent) < len(members) * _SILENT_SHARE:
            return
        # Otherwise the leader itself may be cut off.
        sent_s = max(silence.sent_s for silence in recent.values())
        if self._is_answered_elsewhere(rack, sent_s):
            self._suspect(rack, members, recent, now_s)

    def _is_answered_elsewhere(self, rack: _Rack, since_s: float) -> bool:
        return any(
            answered_s >= since_s
            for other, answered_s in self._answered_s.items()
            if other != rack
        )

    def _list_members(
        self,
        rack: _Rack,
        silent: Container[str],
        now_s: float,
    ) -> list[WorkerSession]:
        """Return the workers of a rack that should answer, silent ones first.

        A worker without runs or recent contact may have been gone for long.
        """
        members = [
            session
            for session in self._state.sessions.values()
            if _get_rack(session) == rack
            and not self._is_leaving(session)
            and (
                session.worker.name in silent
                or self._is_expected(session, now_s)
            )
        ]
        members.sort(key=lambda session: session.worker.name not in silent)
        return members

    def _is_expected(self, session: WorkerSession, now_s: float) -> bool:
        if self._state.get_runs(session.worker.name):
            return True
        contact_s = max(session.last_heard_s, session.last_announced_s)
        return now_s < contact_s + self._state.settings.idle_quiet_s

    def _probe_rack(self, rack: _Rack, now_s: float) -> None:
        """Probe the workers of a rack that has a silent worker."""
        if rack[1] and rack not in self._suspected:
            self._probe(self._list_members(rack, (), now_s), now_s)

    def _probe(self, members: list[WorkerSession], now_s: float) -> None:
        """Withhold starts until each worker has answered one poll.

        A worker that is there answers within milliseconds.
        """
        for session in members:
            name = session.worker.name
            is_silent = name in self._silences[_get_rack(session)]
            if is_silent or self._state.suspected.is_withheld(name):
                continue
            until_s = now_s + self._state.settings.answer_s
            self._state.suspected.add_probed(name, until_s)
            # The answer to a start says as much as that to a poll, which would
            # void the start.
            if not self._has_start_in_flight(session, now_s):
                self._poll_at_once(session, now_s)

    def _has_start_in_flight(
        self,
        session: WorkerSession,
        now_s: float,
    ) -> bool:
        since_s = now_s - self._state.settings.start_answer_s
        for sent_start in reversed(session.sent_starts.values()):
            if sent_start.sent_s <= since_s:
                return False
            if sent_start.confirmed_s is None:
                return True
        return False

    def _poll_at_once(self, session: WorkerSession, now_s: float) -> None:
        """Poll a worker without awaiting the end of a run."""
        if session.poll_state.is_pending:
            session.poll_state.replace_pending()
        session.poll_state.due_s = now_s
        self._poller.poll(session, now_s)

    def _suspect(
        self,
        rack: _Rack,
        members: list[WorkerSession],
        silent: Container[str],
        now_s: float,
    ) -> None:
        until_s = now_s + _SUSPICION_MAX_S
        names = [session.worker.name for session in members]
        self._suspected[rack] = _SuspectedRack(names, until_s)
        self._state.instance_records.excuse(
            {session.worker.instance for session in members}
        )
        self._probe(members, now_s)
        lost_count = self._mark_lost(members, until_s)
        self._state.log(
            'rack.suspected',
            rack[1],
            data_centre=rack[0],
            workers=len(members),
            silent=sum(name in silent for name in names),
            lost=lost_count,
        )

    def _mark_lost(self, members: list[WorkerSession], until_s: float) -> int:
        """Remove workers from the capacity and return how many.

        At most half of the workers of a pool may be suspected at a time.
        """
        state = self._state
        totals = Counter(one.worker.pool for one in state.sessions.values())
        lost = Counter(
            session.worker.pool
            for session in state.sessions.values()
            if state.suspected.is_lost(session.worker.name)
        )
        marked_count = 0
        for session in members:
            pool = session.worker.pool
            if lost[pool] + 1 <= totals[pool] * _POOL_SHARE_MAX:
                lost[pool] += 1
                marked_count += 1
                state.suspected.add_lost(session.worker.name, until_s)
        return marked_count

    def _clear(self, rack: _Rack, suspected: _SuspectedRack) -> None:
        """Clear a rack; workers that have not answered stay withheld."""
        self._suspected.pop(rack)
        self._state.log(
            'rack.cleared',
            rack[1],
            data_centre=rack[0],
            workers=suspected.size,
            unanswered=len(suspected.unanswered),
        )


def _get_rack(session: WorkerSession) -> _Rack:
    return session.worker.data_centre, session.worker.rack


def _get_sent_s(
    session: WorkerSession,
    event: WorkerPolled | StartAnswered,
) -> float | None:
    """Return when an order was sent, or None if it has been replaced."""
    if isinstance(event, WorkerPolled):
        is_replaced = event.fence < session.poll_state.sent_fence
        return None if is_replaced else event.sent_s
    sent_start = session.sent_starts.get(event.task)
    if sent_start is None or sent_start.number != event.number:
        return None
    return sent_start.sent_s
