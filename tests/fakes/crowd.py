"""A crowd of clients that keep something in the gateway: they send their bytes, and do not read."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path

from conftest import LOOP, Rig, Seen, message, reply

CONNECT_TIMEOUT_S = 3.0
SMALL_RECEIVE_BUFFER = 4096
ID_PLACE = b"id-of-the-request"
LONG_ANSWER = b"x" * 8_000_000
LONGEST_BUFFERED_ANSWER = b"x" * 64_000
LONG_CHUNK = b"x" * 200_000
ENDLESS_FIELD = b"field: " + b"x" * 300_000
LONG_NAME = b"x" * 31_000  # of a field, below the limit of a request's head
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWER_THAT_STOPS_IN_A_TRAILER = (
    CHUNKED_HEAD + b"fa00\r\n" + LONGEST_BUFFERED_ANSWER + b"\r\n0\r\n" + ENDLESS_FIELD
)
ANSWER_THAT_STOPS_IN_ITS_HEAD = b"HTTP/1.1 200 OK\r\nfield: " + b"x" * 60_000
ANSWER_OF_TINY_FIELDS = (
    b"HTTP/1.1 200 OK\r\n" + b"".join(b"f%d: v\r\n" % number for number in range(1000)) + b"field: "
)


class Habit(StrEnum):
    """What the clients of a crowd do."""

    SAY_NOTHING = "say_nothing"
    STOP_IN_BODY = "stop_in_body"
    STOP_IN_TINY_CHUNKS = "stop_in_tiny_chunks"
    STOP_IN_LONG_BODY = "stop_in_long_body"
    STOP_IN_TINY_FIELDS = "stop_in_tiny_fields"
    STOP_IN_LONG_TARGET = "stop_in_long_target"
    STOP_IN_FIELD_NAME = "stop_in_field_name"
    ENDLESS_FIELD_VALUE = "endless_field_value"
    STOP_IN_TRAILER = "stop_in_trailer"
    STOP_IN_TRAILER_OF_LONG_BODY = "stop_in_trailer_of_long_body"
    PIPELINE = "pipeline"
    PIPELINE_BEHIND_A_HANG = "pipeline_behind_a_hang"
    IGNORE_LONG_ANSWERS = "ignore_long_answers"
    IGNORE_SHORT_ANSWERS = "ignore_short_answers"
    CAUSE_STOP_IN_ANSWERS_TRAILER = "cause_stop_in_answers_trailer"
    CAUSE_STOP_IN_ANSWERS_HEAD = "cause_stop_in_answers_head"
    CAUSE_ANSWERS_OF_TINY_FIELDS = "cause_answers_of_tiny_fields"


# How the hosts answer the crowd, where they do not answer as they answer others; None: not at all
ANSWERS = {
    Habit.IGNORE_LONG_ANSWERS: reply(LONG_ANSWER),
    Habit.IGNORE_SHORT_ANSWERS: reply(LONGEST_BUFFERED_ANSWER),
    Habit.PIPELINE_BEHIND_A_HANG: None,
    Habit.CAUSE_STOP_IN_ANSWERS_TRAILER: ANSWER_THAT_STOPS_IN_A_TRAILER,
    Habit.CAUSE_STOP_IN_ANSWERS_HEAD: ANSWER_THAT_STOPS_IN_ITS_HEAD,
    Habit.CAUSE_ANSWERS_OF_TINY_FIELDS: ANSWER_OF_TINY_FIELDS,
}


def head(number: int, more: str, target: str = "") -> bytes:
    """The head of a booking, up to its last header lines."""
    return message("put", rid=b"crowd-%d" % number, drop="Content-Length", more=more, target=target)


def pipeline(number: int, count: int) -> bytes:
    """Lookups with ids of their own; encoded once, since the hosts stand still while a crowd is made."""
    before, after = message(rid=ID_PLACE).split(ID_PLACE)
    between = after + before
    ids = [b"crowd-%d-%d" % (number, i) for i in range(count)]
    return before + between.join(ids) + after


def input_of(habit: Habit, number: int) -> bytes:
    """What a client of the crowd sends."""
    match habit:
        case Habit.SAY_NOTHING:
            return b""
        case Habit.STOP_IN_BODY:
            return head(number, "Content-Length: 64000\r\n") + b"x" * 60_000
        case Habit.STOP_IN_TINY_CHUNKS:
            return head(number, "Transfer-Encoding: chunked\r\n") + b"2\r\nxx\r\n" * 30_000
        case Habit.STOP_IN_LONG_BODY:
            return head(number, "Content-Length: 6000000\r\n") + b"x" * 600_000
        case Habit.STOP_IN_TINY_FIELDS:
            return head(number, "")[:-2] + b"a:b\r\n" * 5_900
        case Habit.STOP_IN_LONG_TARGET:
            return b"GET /api/" + b"x" * 30_000
        case Habit.STOP_IN_FIELD_NAME:
            return head(number, "")[:-2] + LONG_NAME
        case Habit.ENDLESS_FIELD_VALUE:
            return head(number, "")[:-2] + ENDLESS_FIELD
        case Habit.STOP_IN_TRAILER:
            return head(number, "Transfer-Encoding: chunked\r\n") + b"1\r\nx\r\n0\r\n" + ENDLESS_FIELD
        case Habit.STOP_IN_TRAILER_OF_LONG_BODY:
            chunk = b"%x\r\n%b\r\n" % (len(LONG_CHUNK), LONG_CHUNK)
            return head(number, "Transfer-Encoding: chunked\r\n") + chunk + b"0\r\n" + ENDLESS_FIELD
        case Habit.PIPELINE | Habit.PIPELINE_BEHIND_A_HANG:
            return pipeline(number, 1000)
        case Habit.IGNORE_LONG_ANSWERS | Habit.IGNORE_SHORT_ANSWERS:
            return pipeline(number, 8)
        case _:
            return pipeline(number, 1)


def host_behaviour(habit: Habit) -> Callable[[Seen], bytes | None]:
    """How the hosts answer: the crowd as its habit wants, others at once."""

    def behave(seen: Seen) -> bytes | None:
        if "transfer-encoding" in seen.headers:
            return None  # its body never ends
        if not seen.headers["x-request-id"].startswith("crowd-"):
            return reply()
        if habit in ANSWERS:
            return ANSWERS[habit]
        return reply()

    return behave


class Crowd:
    """Clients that connect at once and stay."""

    def __init__(self, rig: Rig, habit: Habit, count: int) -> None:
        self._port, self._habit, self._count = rig.port, habit, count
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Crowd:
        for number in range(self._count):
            self._tasks.append(asyncio.create_task(self._stay(number)))
        return self

    async def _stay(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, (LOOP, self._port))
            await loop.sock_sendall(sock, input_of(self._habit, number))

    async def __aexit__(self, *exc: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._sockets:
            sock.close()


def _status_mb(pid: int, field: str) -> float:
    """A size in /proc/PID/status (proc(5)), in MiB.

    Raises:
        ProcessLookupError: The process has ended.
    """
    try:
        for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1]) / 1024
    except FileNotFoundError:
        pass
    raise ProcessLookupError(errno.ESRCH, f"process {pid} has ended")


def peak_resident_mb(pid: int) -> float:
    """The most that a process has held since its start, in MiB.

    Raises:
        ProcessLookupError: The process has ended.
    """
    return _status_mb(pid, "VmHWM")


def resident_mb(pid: int) -> float:
    """What a process holds now, in MiB.

    Raises:
        ProcessLookupError: The process has ended.
    """
    return _status_mb(pid, "VmRSS")
