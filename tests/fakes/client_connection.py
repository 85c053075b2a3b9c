"""What surrounds a connection, without sockets: handler, transport, host; each records what it gets."""

from __future__ import annotations

import socket
from typing import Any

from conftest import GRADES, PACKAGES

from hillmux.net.config import parse
from hillmux.net.forward_request import ForwardRequest
from hillmux.net.http1 import ResponseProtocol
from hillmux.net.response import Response

SETTINGS = parse(
    {
        "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "1",
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": {"grades": GRADES, "packages": PACKAGES, "bounds": {"try_limit": 1}},
    }
).settings  # fmt: skip


class RecordingHandler:
    """Records requests and leaves them open until the test answers them."""

    draining = False
    settings = SETTINGS

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.ids: list[bytes] = []
        self.read_at: list[float] = []
        self.streamed_bodies: list[Any] = []

    def request(self, client: Any, forward_request: ForwardRequest) -> str:
        self.ids.append(forward_request.client_request_id)
        self.bodies.append(forward_request.body)
        self.read_at.append(forward_request.read_at)
        if forward_request.streamed_body is not None:
            self.streamed_bodies.append(forward_request.streamed_body)
        return str(len(self.ids))

    def client_disconnected(self, request_id: str) -> None:
        raise AssertionError("no client disconnects in this test")

    def abort_request(self, request_id: str, status: int) -> None:
        raise AssertionError(f"request {request_id} is complete, but ended with status {status}")

    def ready(self) -> bool:
        return True


class FlowControlledTransport:
    """A transport that records writes and whether reading is paused."""

    def __init__(self) -> None:
        self.sock, self._other = socket.socketpair()
        self.reading = True
        self.written: list[bytes] = []
        self.closed = False

    def get_extra_info(self, name: str) -> Any:
        return self.sock if name == "socket" else ("127.0.0.1", 1)

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def write(self, data: bytes) -> None:
        self.written.append(data)

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def write_eof(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True

    def close_sockets(self) -> None:
        self.sock.close()
        self._other.close()


class RecordingResponseProtocol(ResponseProtocol):
    """A connection to a host, the counter or discovery, that records responses."""

    def __init__(self, max_body_bytes: int) -> None:
        super().__init__(max_body_bytes)
        self.received: list[
            tuple[Response, bool]
        ] = []  # each response, and whether its connection is reusable
        self.malformed = 0

    def on_response(self, response: Response, reusable: bool) -> None:
        self.received.append((response, reusable))

    def on_malformed_response(self) -> None:
        self.malformed += 1

    def on_connection_lost(self) -> None:
        pass


class RecordingUpstream:
    """A connection to a host that records what is written of a streamed body in chunks."""

    write_paused = False

    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.attached = self.finished = False

    def attach(self, body: Any) -> None:
        self.attached = True
        body.attach(self)

    def write_body_data(self, data: bytes) -> None:
        self.written.append(data)

    def finish_body(self, data: bytes) -> None:
        self.written.append(data)
        self.finished = True

    def body(self) -> bytes:
        """The body that was written, decoded."""
        data, parts = b"".join(self.written), []
        while data:
            size, _, data = data.partition(b"\r\n")
            parts.append(data[: int(size, 16)])
            data = data[int(size, 16) + 2 :]
        return b"".join(parts)
