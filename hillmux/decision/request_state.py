"""State of a request that awaits its answer or still has open attempts."""

from __future__ import annotations

from hillmux import interface as api
from hillmux.balancing.host import Host
from hillmux.quotas.state import QuotaState


class Attempt:
    """One attempt of a request at a host."""

    __slots__ = ("host", "sent_at", "open", "may_have_run", "streaming")

    def __init__(self, host: Host, sent_at: float) -> None:
        self.host = host
        self.sent_at = sent_at
        self.open = True
        self.may_have_run = True  # false once a result shows that it never ran
        self.streaming = False  # the client has received the start of its response


class PendingRequest:
    """A request from its acceptance to the end of its last attempt."""

    __slots__ = (
        "request",
        "request_class",
        "quota",
        "due_at",
        "deadline_at",
        "attempts",
        "open_attempts",
        "answered",
        "streaming",
        "expected_work",
        "max_attempts",
        "beyond_quota",
        "undelivered_attempts",
    )

    def __init__(
        self,
        request: api.Request,
        request_class: api.RequestClass,
        quota: QuotaState,
        due_at: float,
        deadline_at: float,
        expected_work: float,
        max_attempts: int,
        beyond_quota: bool,
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.quota = quota
        self.due_at = due_at  # an answer after this moment has no value
        self.deadline_at = deadline_at  # the client waits no longer than to this moment
        self.expected_work = expected_work  # expected latency of all its units, in ms
        self.max_attempts = max_attempts
        self.beyond_quota = beyond_quota  # its units are not deducted from the quota
        self.attempts: list[Attempt] = []
        self.open_attempts = 0
        self.undelivered_attempts = 0  # attempts whose last byte never reached a host
        self.answered = False
        self.streaming = False
