"""The two sides of a client connection without sockets: a handler that records, a transport that records."""

from __future__ import annotations

import socket
from typing import Any

from conftest import GRADES, PACKAGES

from hillmux.net.config import parse
from hillmux.net.forward_request import ForwardRequest

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

    def request(self, client: Any, forward_request: ForwardRequest) -> str:
        self.ids.append(forward_request.client_request_id)
        self.bodies.append(forward_request.body)
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
        return self.sock

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
