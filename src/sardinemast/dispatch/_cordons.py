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
    details = {'to_pool': pool}
    cordon = Cordon(now_s, CordonReason.move, details, is_binding=True)
    _cordon(state, session, cordon)


def bind_cordon(session: WorkerSession) -> None:
    """Mark that the instance of a cordoned worker may be taken any moment."""
    if session.cordon is not None:
        session.cordon = session.cordon._replace(is_binding=True)


def is_cordoned_for_wave(session: WorkerSession | None) -> bool:
    """Check whether a worker is cordoned for maintenance."""
    cordon = session.cordon if session else None
    return cordon is not None and cordon.reason is CordonReason.maintenance


def end_cordon(
    state: DispatchState, session: WorkerSession, cause: str, now_s: float
) -> None:
    """End the cordon of a worker, if it has one."""
    cordon = session.cordon
    if cordon is None:
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
