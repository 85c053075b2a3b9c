"""Hosts of the soak: each request meets a drawn behaviour; all that comes and goes is recorded."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from dataclasses import dataclass
from enum import StrEnum

from fakes.raw import Peer, RawHost

PIECE_BYTES = 1500
PIECE_INTERVAL_S = 0.04
SMALL_RECEIVE_BUFFER = 4096
CROWD_ID = "crowd-"  # how the request ids of a crowd begin


class Behaviour(StrEnum):
    """What a host does with one request."""

    SERVE = "serve"
    SERVE_LATE = "serve_late"
    WRITE_SLOWLY = "write_slowly"
    READ_SLOWLY = "read_slowly"
    FAIL = "fail"
    TURN_AWAY = "turn_away"
    RESET = "reset"
    HANG = "hang"
    HANG_IN_ANSWER = "hang_in_answer"


BEHAVIOUR_WEIGHTS = {
    Behaviour.SERVE: 60,
    Behaviour.SERVE_LATE: 10,
    Behaviour.WRITE_SLOWLY: 8,
    Behaviour.READ_SLOWLY: 4,
    Behaviour.FAIL: 4,
    Behaviour.TURN_AWAY: 4,
    Behaviour.RESET: 4,
    Behaviour.HANG: 3,
    Behaviour.HANG_IN_ANSWER: 3,
}


@dataclass
class Run:
    """One request at a host. Times are by `time.monotonic`; 0 while the event has not happened."""

    request_id: str
    behaviour: Behaviour
    told_ms: float  # X-Deadline
    head_at: float
    complete_at: float = 0.0
    turned_away: bool = False
    answer_ended_at: float = 0.0  # the whole answer was written
    cut_at: float = 0.0  # the gateway closed the connection while the answer was being written


async def closed_by_gateway(peer: Peer) -> None:
    """Wait until the gateway closes or resets the connection."""
    with contextlib.suppress(ConnectionError):
        await peer.reader.read(1)


class SoakHost:
    """One host; the shared list `runs` gets an entry for each request."""

    def __init__(self, rng: random.Random, runs: list[Run]) -> None:
        self._rng, self._runs = rng, runs
        self.crowd_answer: bytes | None = None  # the answer to a crowd's requests; None: as to others
        self.raw = RawHost(self._serve)

    async def _serve(self, peer: Peer) -> None:
        while True:
            head = await peer.head()
            if self.crowd_answer is not None and f"\r\nx-request-id: {CROWD_ID}" in head.lower():
                await peer.write(self.crowd_answer)
                await peer.closed()
                return
            run = self._record(head)
            if run.behaviour == Behaviour.READ_SLOWLY:
                await self._read_slowly(peer, head)
            else:
                await peer.body(head)
            run.complete_at = time.monotonic()
            if not await self._answer(peer, run):
                return

    def _record(self, head: str) -> Run:
        headers = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        behaviours = list(BEHAVIOUR_WEIGHTS)
        (behaviour,) = self._rng.choices(behaviours, list(BEHAVIOUR_WEIGHTS.values()))
        told_ms = float(headers["x-deadline"].rstrip("m"))
        run = Run(headers["x-request-id"], behaviour, told_ms, time.monotonic())
        self._runs.append(run)
        return run

    async def _read_slowly(self, peer: Peer, head: str) -> None:
        if peer.writer.transport.is_closing():  # uvloop has no socket then, and raises a RuntimeError
            raise ConnectionResetError("connection closed")
        raw = peer.writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        await peer.body(head)

    async def _answer(self, peer: Peer, run: Run) -> bool:
        """Answer as the behaviour says; whether the connection stays in use."""
        body = run.request_id.encode()
        match run.behaviour:
            case Behaviour.SERVE | Behaviour.READ_SLOWLY:
                await asyncio.sleep(self._rng.uniform(0.0, 0.03))
            case Behaviour.SERVE_LATE:
                await asyncio.sleep(self._rng.uniform(0.1, 0.8))
            case Behaviour.WRITE_SLOWLY:
                return await self._write_slowly(peer, run)
            case Behaviour.FAIL:
                await peer.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
                return True
            case Behaviour.TURN_AWAY:
                run.turned_away = True
                await peer.write(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
                return True
            case Behaviour.RESET:
                peer.writer.transport.abort()
                return False
            case Behaviour.HANG:
                await peer.closed()
                return False
            case Behaviour.HANG_IN_ANSWER:
                await peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nhalf")
                await peer.closed()
                return False
        await peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        run.answer_ended_at = time.monotonic()
        return True

    async def _write_slowly(self, peer: Peer, run: Run) -> bool:
        """Write a chunked answer in pieces; the gateway must not close while they come."""
        watch = asyncio.create_task(closed_by_gateway(peer))
        await peer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(self._rng.randint(5, 60)):
            with contextlib.suppress(ConnectionError):
                await peer.write(b"%x\r\n%b\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES))
            await asyncio.sleep(PIECE_INTERVAL_S)
            if watch.done():
                run.cut_at = time.monotonic()
                return False
        watch.cancel()
        await peer.write(b"0\r\n\r\n")
        run.answer_ended_at = time.monotonic()
        return False
