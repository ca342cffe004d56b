"""Cordon workers, and log each cordon and its end."""

from sardinemast.dispatch._state import DispatchState
from sardinemast.dispatch._worker_session import (
    Cordon,
    CordonReason,
    WorkerSession,
)


def cordon_for_wave(
    state: DispatchState, session: WorkerSession, wave: int, now_s: float
) -> None:
    """Cordon a worker for a maintenance wave, unless it is cordoned."""
    cordon = Cordon(now_s, CordonReason.maintenance, {'wave': wave})
    _cordon(state, session, cordon)


def cordon_for_move(
    state: DispatchState, session: WorkerSession, pool: str, now_s: float
) -> None:
    """Cordon a worker for a move to a pool, unless it is cordoned."""
    cordon = Cordon(now_s, CordonReason.move, {'to_pool': pool})
    _cordon(state, session, cordon)


def bind_cordon(session: WorkerSession) -> None:
    """Mark that the instance of a cordoned worker may be taken any moment."""
    if session.cordon is not None:
        session.cordon = session.cordon._replace(is_binding=True)


def end_move_cordon(
    state: DispatchState, session: WorkerSession, cause: str, now_s: float
) -> None:
    """End the cordon of a worker if it is cordoned for a move."""
    end_cordon(state, session, cause, now_s, CordonReason.move)


def is_cordoned_for_wave(session: WorkerSession | None) -> bool:
    """Check whether a worker is cordoned for maintenance."""
    cordon = session.cordon if session else None
    return cordon is not None and cordon.reason is CordonReason.maintenance


def end_cordon(
    state: DispatchState,
    session: WorkerSession,
    cause: str,
    now_s: float,
    reason: CordonReason | None = None,
) -> None:
    """End the cordon of a worker; with a reason, only one for that reason."""
    cordon = session.cordon
    if cordon is None or reason not in {None, cordon.reason}:
        return
    session.cordon = None
    state.log(
        'worker.uncordoned',
        session.worker.name,
        reason=cordon.reason.value,
        **cordon.details,
        cause=cause,
        lasted_s=round(now_s - cordon.since_s, 3),
    )


def _cordon(
    state: DispatchState, session: WorkerSession, cordon: Cordon
) -> None:
    if session.cordon is None:
        session.cordon = cordon
        state.log(
            'worker.cordoned',
            session.worker.name,
            reason=cordon.reason.value,
            **cordon.details,
        )
