"""A client's request as it is forwarded to upstream hosts, and the client that is owed its response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from hillmux.net.attempt import Attempt
from hillmux.net.http1 import Response


class Client(Protocol):
    """A client that is owed a response."""

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Send the one final response."""

    def has_disconnected(self, behind: bool) -> bool:
        """Whether it has disconnected, even if the loop has not read so yet.

        `behind`: the loop runs behind, so the end of the connection may have been waiting for some time.
        """


class StreamingClient(Client, Protocol):
    """A client that a long response is streamed to."""

    def start_response(self, response: Response, source: Any) -> None:
        """Send the head of the response; the body follows from `source`, a connection to a host."""

    def finish_response(self) -> None:
        """The response is complete."""

    def abort_response(self) -> None:
        """The response cannot be completed."""


@dataclass(slots=True, init=False)
class ForwardRequest:
    """A valid request of a client: what the decision module is told, and what is sent to a host."""

    client_request_id: bytes  # X-Request-Id
    class_name: str
    plan_name: str
    customer: str
    time_left_ms: float
    units: float
    replicas: int  # gateways that this customer's requests may come through
    first_replica: int  # index of the first of them
    is_retry: bool
    read_at: float  # when its last byte was read, by time.monotonic
    head: bytes  # request line and headers for the host, without X-Deadline
    body: bytes
    pool: str = ""  # the hosts that may serve it
    streamed_body: Any = None  # the rest of a body that is still arriving (net/streamed_body.py)

    def __init__(
        self,
        client_request_id: bytes,
        class_name: str,
        plan_name: str,
        customer: str,
        time_left_ms: float,
        units: float,
        replicas: int,
        first_replica: int,
        is_retry: bool,
        read_at: float,
        head: bytes,
        body: bytes,
        pool: str = "",
        streamed_body: Any = None,
    ) -> None:
        self.client_request_id, self.class_name = client_request_id, class_name
        self.plan_name, self.customer = plan_name, customer
        self.time_left_ms, self.units = time_left_ms, units
        self.replicas, self.first_replica, self.is_retry = replicas, first_replica, is_retry
        self.read_at, self.head, self.body = read_at, head, body
        self.pool, self.streamed_body = pool, streamed_body


class OpenRequest:
    """A request until it is answered and its last attempt has ended."""

    __slots__ = (
        "id",
        "client",
        "forward_request",
        "deadline",
        "deadline_slot",
        "attempts",
        "open_attempts",
        "max_attempts",
        "streaming_attempt",
    )

    def __init__(
        self,
        request_id: str,
        client: Client,
        forward_request: ForwardRequest,
        deadline: float,
        max_attempts: int,
    ) -> None:
        self.id, self.forward_request = request_id, forward_request
        self.deadline = deadline  # by time.monotonic
        self.max_attempts = max_attempts  # by the settings in force when it was accepted
        self.client: Client | None = client  # None: answered or disconnected
        self.deadline_slot = 0  # of its deadline timer, in `GatewayCore.deadlines`
        self.attempts: list[Attempt | None] = []  # None: never sent
        self.open_attempts = 0
        self.streaming_attempt: Attempt | None = None  # whose response has begun at the client
