"""Requests as they are forwarded to upstream hosts, and the interface of the clients that sent them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from hillmux.net.attempt import Attempt
from hillmux.net.memory_budget import Reservation
from hillmux.net.response import Response


class Client(Protocol):
    """A client that waits for a response."""

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Send the final response; called once."""

    def has_disconnected(self, behind: bool) -> bool:
        """Whether the client has disconnected, even if the event loop has not read the disconnect yet.

        Args:
            behind: whether the event loop is lagging, so that a disconnect may have been unread for some
                time.
        """


class StreamingClient(Client, Protocol):
    """A client that can receive a streamed response."""

    def start_response(self, response: Response, source: Any) -> None:
        """Send the head of the response; the body follows from `source`, a connection to a host."""

    def finish_response(self) -> None:
        """Send the end of a response that is complete."""

    def abort_response(self) -> None:
        """Close the connection, because the response cannot be completed."""


@dataclass(slots=True, init=False)
class ForwardRequest:
    """A valid client request: the input of the decision module, and the bytes that are sent to a host."""

    client_request_id: bytes  # value of X-Request-Id
    class_name: str
    plan_name: str
    customer: str
    time_left_ms: float
    units: float
    replicas: int  # number of gateways that receive this customer's requests
    first_replica: int  # index of the first of these gateways
    is_retry: bool
    read_at: float  # time.monotonic when its last byte was read
    head: bytes  # request line and headers for the host, without X-Deadline
    body: bytes
    pool: str = ""  # name of the pool of hosts that may serve it
    reservation: Reservation | None = None  # memory of a body that is not small, kept as long as this request
    streamed_body: Any = None  # remainder of a body that is still arriving (net/streamed_body.py)

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
        reservation: Reservation | None = None,
    ) -> None:
        self.client_request_id, self.class_name = client_request_id, class_name
        self.plan_name, self.customer = plan_name, customer
        self.time_left_ms, self.units = time_left_ms, units
        self.replicas, self.first_replica, self.is_retry = replicas, first_replica, is_retry
        self.read_at, self.head, self.body = read_at, head, body
        self.pool, self.streamed_body, self.reservation = pool, streamed_body, reservation


class OpenRequest:
    """A request that has not been answered yet, or that still has open attempts."""

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
        "may_have_run",
        "abandoned",
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
        self.deadline = deadline  # as a value of time.monotonic
        self.max_attempts = max_attempts  # from the settings in force when the request was accepted
        self.client: Client | None = client  # None once it has been answered or has disconnected
        self.deadline_slot = 0  # slot number of its deadline in `GatewayCore.deadlines`
        self.attempts: list[Attempt | None] = []  # None for an attempt that was never sent
        self.open_attempts = 0
        self.may_have_run = False  # one of the failed attempts may have
        self.abandoned = False  # the client left without an answer
        self.streaming_attempt: Attempt | None = None  # the attempt whose response is being streamed
