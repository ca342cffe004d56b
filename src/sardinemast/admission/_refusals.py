"""Final answers to callers whose request got no upstream's answer."""

from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple


class RunOutcome(StrEnum):
    """Say whether a refused request can have reached an upstream."""

    not_run = 'not run'
    unknown = 'unknown'


class Refusal(NamedTuple):
    """Answer a caller at once; ``retry_after_s`` says when to come back."""

    code: str
    status: int
    outcome: RunOutcome
    text: str
    retry_after_s: float | None = None


def refuse_not_run(
    code: str,
    status: HTTPStatus,
    text: str,
    retry_after_s: float | None = None,
) -> Refusal:
    """Refuse a request of which no byte has left for an upstream."""
    return Refusal(
        code,
        int(status),
        RunOutcome.not_run,
        text,
        retry_after_s,
    )


def refuse_unknown(code: str, status: HTTPStatus, text: str) -> Refusal:
    """Answer a request that an upstream may have run."""
    return Refusal(code, int(status), RunOutcome.unknown, text)
