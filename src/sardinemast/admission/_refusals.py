"""Answers to callers whose request got no answer from an upstream."""

from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple


class RunOutcome(StrEnum):
    """Whether a refused request may have run at an upstream."""

    not_run = 'not run'
    unknown = 'unknown'


class Refusal(NamedTuple):
    """Hold an error answer and the delay after which to retry."""

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
    """Return the refusal of a request that was not sent to an upstream."""
    return Refusal(
        code,
        int(status),
        RunOutcome.not_run,
        text,
        retry_after_s,
    )


def refuse_unknown(code: str, status: HTTPStatus, text: str) -> Refusal:
    """Return the refusal of a request that an upstream may have run."""
    return Refusal(code, int(status), RunOutcome.unknown, text)
