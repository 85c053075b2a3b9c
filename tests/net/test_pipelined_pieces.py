"""Pipelined requests split into random pieces and answered at random times arrive complete and in order."""

from __future__ import annotations

import asyncio
import random
import socket
from collections import deque
from typing import Any

import pytest
from conftest import GRADES, PACKAGES, message, on_loop

from hillmux.net.config import parse
from hillmux.net.forward_request import ForwardRequest
from hillmux.net.streaming_client import StreamingClientConnection, StreamingListener

REQUESTS = 40
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

    def get_extra_info(self, name: str) -> Any:
        return self.sock

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def write(self, data: bytes) -> None:
        self.written.append(data)

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def close_sockets(self) -> None:
        self.sock.close()
        self._other.close()


def split_randomly(data: bytes, rng: random.Random, max_piece: int) -> deque[bytes]:
    """Split data into pieces of random lengths from 1 to `max_piece` bytes."""
    pieces: deque[bytes] = deque()
    while data:
        length = rng.randint(1, max_piece)
        pieces.append(data[:length])
        data = data[length:]
    return pieces


@pytest.mark.parametrize("seed", range(40))
def test_randomly_split_requests_arrive_complete_and_in_order(seed: int) -> None:
    """Guards against reordered input, and against a 400 for valid requests that had to wait unparsed."""

    async def scenario() -> None:
        rng = random.Random(seed)
        size = rng.choice((3_000, 30_000, 60_000))
        bodies = [bytes([97 + i % 26]) * (size + i) for i in range(REQUESTS)]
        sent = b"".join(message("put", rid=b"id-%d" % i, body=body) for i, body in enumerate(bodies))
        handler = RecordingHandler()
        listener = StreamingListener(handler, asyncio.get_running_loop(), 1024)
        connection, transport = StreamingClientConnection(listener), FlowControlledTransport()
        connection.connection_made(transport)
        pieces = split_randomly(sent, rng, 4 * size)
        answers, answer_rate = 0, rng.random()
        while answers < REQUESTS:
            if pieces and transport.reading and rng.random() > answer_rate / 4:
                connection.data_received(pieces.popleft())
            elif answers < len(handler.ids) and rng.random() < answer_rate:
                answers += 1
                connection.answer(200, b"ok")
            elif not pieces and answers == len(handler.ids):
                break
        transport.close_sockets()
        assert handler.ids == [b"id-%d" % i for i in range(REQUESTS)]
        assert handler.bodies == bodies
        assert all(data.startswith(b"HTTP/1.1 200") for data in transport.written)
        assert listener.unparsed_total.size == 0

    on_loop(scenario, 10)
