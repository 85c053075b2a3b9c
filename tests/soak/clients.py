"""Clients of the soak: they send one request after another on open connections until these are closed."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass
from enum import StrEnum

from conftest import LOOP, message
from fakes.usual_client import is_closed, was_reset

ANSWER_LATE_S = 0.5  # an answer that is later than this after its time is lost
LISTEN_S = 4.0  # how long a client listens after its time, to see answers that are late
RETRY_PAUSE_S = 0.05


class Outcome(StrEnum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    CUT = "cut"  # a begun answer ended before it was whole
    CLOSED = "closed"  # the connection ended without an answer after the request was read
    RESET = "reset"  # the connection was reset without an answer, so the request was not read
    UNANSWERED = "unanswered"
    LEFT = "left"  # the client closed its connection before an answer
    NOT_SENT = "not_sent"


@dataclass
class Sent:
    """One request of a client. Times are by `time.monotonic`; 0 while the event has not happened."""

    request_id: str
    class_name: str
    time_s: float  # of the client, from the last byte
    began_at: float
    on_new_connection: bool
    sent_at: float = 0.0
    first_byte_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    outcome: Outcome = Outcome.NOT_SENT


class SoakClient:
    """One client; the shared list `sent` gets an entry for each request."""

    def __init__(self, name: str, port: int, rng: random.Random, time_s: float, sent: list[Sent]) -> None:
        self._name, self._port, self._rng, self._time_s, self._sent = name, port, rng, time_s, sent
        self._serial = 0

    async def run(self, until: asyncio.Event) -> None:
        """Open connections one after another, and use each until it is closed."""
        while not until.is_set():
            try:
                reader, writer = await asyncio.open_connection(LOOP, self._port)
            except OSError:  # no process listens
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            writer.transport.set_write_buffer_limits(high=0)  # `drain` waits until all is with the system
            try:
                await self._use(reader, writer, until)
            finally:
                writer.transport.abort()

    async def _use(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, until: asyncio.Event
    ) -> None:
        is_new = True
        while not until.is_set() and not is_closed((reader, writer)):
            sent = self._new_request(is_new)
            try:
                stays = await self._ask(sent, reader, writer)
            except ConnectionError:
                sent.outcome = Outcome.CUT if sent.first_byte_at else Outcome.RESET
                stays = False
            except asyncio.IncompleteReadError:
                without_answer = Outcome.RESET if was_reset(writer) else Outcome.CLOSED
                sent.outcome = Outcome.CUT if sent.first_byte_at else without_answer
                stays = False
            except TimeoutError:
                sent.outcome = Outcome.CUT if sent.first_byte_at else Outcome.UNANSWERED
                stays = False
            sent.ended_at = time.monotonic()
            if not stays:
                return
            is_new = False
            await asyncio.sleep(self._rng.expovariate(25.0))

    def _new_request(self, is_new: bool) -> Sent:
        self._serial += 1
        class_name = self._rng.choice(("read", "put", "pay"))
        request_id = f"{self._name}-{self._serial}"
        sent = Sent(request_id, class_name, self._time_s, time.monotonic(), is_new)
        self._sent.append(sent)
        return sent

    async def _ask(self, sent: Sent, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a request and read its answer; whether the connection may carry another one."""
        long_body = sent.class_name != "read" and self._rng.random() < 0.05
        body = b"x" * self._rng.randint(70_000, 900_000) if long_body else b"y" * self._rng.randint(0, 3000)
        data = message(
            sent.class_name,
            rid=sent.request_id.encode(),
            body=b"" if sent.class_name == "read" else body,
            deadline=f"{sent.time_s * 1000:.0f}m",
        )
        async with asyncio.timeout(sent.time_s + LISTEN_S):
            writer.write(data)
            with contextlib.suppress(ConnectionError):  # an answer may have come before the reset
                await writer.drain()
            sent.sent_at = time.monotonic()
            if self._rng.random() < 0.03:
                await asyncio.sleep(self._rng.uniform(0.0, 0.1))
                writer.transport.abort()
                sent.outcome = Outcome.LEFT
                return False
            return await self._read_answer(sent, reader)

    async def _read_answer(self, sent: Sent, reader: asyncio.StreamReader) -> bool:
        first = await reader.readexactly(1)
        sent.first_byte_at = time.monotonic()
        line, *rest = (first + await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
        headers = dict(r.split(": ", 1) for r in rest if ": " in r)
        sent.status = int(line.split()[1])
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\n"), 16):
                sent.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            sent.body = await reader.readexactly(int(headers["content-length"]))
        sent.outcome = Outcome.ANSWERED
        return headers.get("connection") != "close"
