"""Log lines and counts of requests and attempts that failed."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Final

from hillmux.interface import AttemptResult
from hillmux.net.attempt import Attempt
from hillmux.net.diagnostics import FailureLog, ReasonCounts
from hillmux.net.forward_request import OpenRequest

REJECTED_STATUSES: Final = frozenset((429, 503))  # rejections by load or quota, which are only counted
ABORTED: Final = "aborted"  # in place of a status: a begun response could not be completed


class RequestLog:
    """The failures of one gateway's requests; `write` writes a line of the log at a level."""

    def __init__(self, write: Callable[[int, str], None]) -> None:
        self._write = write
        self.attempt_failures = ReasonCounts()
        self.own_answers = ReasonCounts()  # responses that no host made, by status
        self.disconnects = 0  # clients whose connection ended before their answer
        self.lines = FailureLog()

    def record_attempt(self, attempt: Attempt, result: AttemptResult, elapsed_ms: float) -> None:
        """Record an attempt that failed."""
        self.attempt_failures.count(result)
        if self.lines.may_write():
            self._write(
                logging.INFO,
                f"attempt {attempt.number} of {attempt.request_id} at {attempt.host} ended: {result}"
                f" after {elapsed_ms:.0f} ms, {attempt.received_bytes} bytes received",
            )

    def record_answer(self, request: OpenRequest, status: int) -> None:
        """Record a response that no host made."""
        self.own_answers.count(str(status))
        if status not in REJECTED_STATUSES and self.lines.may_write():
            self._write(logging.INFO, f"request failed with {status}: {_describe(request)}")

    def record_abort(self) -> None:
        """Record a response that was begun and could not be completed."""
        self.own_answers.count(ABORTED)

    def record_disconnect(self, request: OpenRequest) -> None:
        """Record a client whose connection ended before its request was answered."""
        self.disconnects += 1
        if self.lines.may_write():
            self._write(logging.INFO, f"client disconnected before its answer: {_describe(request)}")

    def record_deadline(self, request: OpenRequest) -> None:
        """Record a request that nobody has answered by its deadline."""
        self._write(
            logging.WARNING,
            f"request unanswered at its deadline; failed by the deadline timer: {_describe(request)}",
        )


def _describe(request: OpenRequest) -> str:
    """The request's ids, class and attempts."""
    forward_request = request.forward_request
    waited_ms = (time.monotonic() - forward_request.read_at) * 1000
    attempts = ", ".join("not sent" if a is None else a.host for a in request.attempts) or "none"
    return (
        f"{request.id} id {forward_request.client_request_id.decode('latin-1')}"
        f" class {forward_request.class_name} after {waited_ms:.0f} ms, attempts: {attempts}"
    )
