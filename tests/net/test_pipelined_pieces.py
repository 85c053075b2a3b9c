"""Pipelined requests split into random pieces and answered at random times arrive complete and in order."""

from __future__ import annotations

import asyncio
import random
from collections import deque

import pytest
from conftest import message, on_loop
from fakes.client_connection import FlowControlledTransport, RecordingHandler

from hillmux.net.streaming_client import StreamingClientConnection, StreamingListener

REQUESTS = 40


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
