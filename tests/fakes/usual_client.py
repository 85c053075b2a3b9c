"""Clients with small requests, which a gateway has to serve whatever a crowd does."""

from __future__ import annotations

import asyncio
import os
import select
import socket
from collections import Counter

from conftest import Rig, message, read_message

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]

CUT = 0  # in place of a status: a request was read, and its connection was closed without an answer
UNREAD = -1  # three connections in a row were closed before the request was read
TIME_MS = 2600  # of the requests
LATE_S = 0.5  # an answer that is later than this after its time is lost
ATTEMPTS = 3
USUAL_CLIENTS = 4
PAUSE_S = 0.05
TCP_CLOSE = 7  # tcpi_state of TCP_INFO, after a reset (tcp(7))


def is_closed(connection: Connection) -> bool:
    """Whether the gateway has closed the connection already, as far as it has arrived here."""
    reader, writer = connection
    if reader.at_eof() or writer.is_closing():
        return True
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


def take_open(kept: list[Connection]) -> Connection | None:
    """A kept connection that is still open; None if there is none."""
    while kept:
        connection = kept.pop()
        if not is_closed(connection):
            return connection
        connection[1].close()
    return None


def was_reset(writer: asyncio.StreamWriter) -> bool:
    """Whether the connection was reset, also after its end: the request met a closed socket, unread."""
    descriptor = os.dup(writer.get_extra_info("socket").fileno())
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor) as duplicate:
        return duplicate.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE


def was_forwarded(rig: Rig, request: bytes) -> bool:
    """Whether a host has received the request, so that the gateway has read it."""
    request_id = request.split(b"X-Request-Id: ")[1].split(b"\r\n")[0].decode()
    return any(seen.headers.get("x-request-id") == request_id for host in rig.hosts for seen in host.seen)


async def ask(rig: Rig, request: bytes, statuses: Counter[int], kept: list[Connection]) -> None:
    """Send a request, and count its status, or CUT.

    The request is sent again only if its connection was reset: the system resets a connection when input
    meets its close unread, while one that is closed after its input was read only ends.
    """
    for _ in range(ATTEMPTS):
        if (connection := take_open(kept)) is None:
            kept.append(await rig.connect())
            connection = take_open(kept)
        if connection is None:  # closed before the request was sent
            continue
        reader, writer = connection
        try:
            writer.write(request)
            seen = await read_message(reader, writer)
        except ConnectionError:
            writer.close()
            if was_forwarded(rig, request):
                statuses[CUT] += 1
                return
            continue
        except asyncio.IncompleteReadError:
            unread = was_reset(writer)
            writer.close()
            if unread:
                continue
            statuses[CUT] += 1
            return
        statuses[int(seen.line.split()[1])] += 1
        if seen.headers.get("connection") != "close":
            kept.append((reader, writer))
        else:
            writer.close()
        return
    statuses[UNREAD] += 1


async def usual_client(rig: Rig, name: str, until: asyncio.Event, statuses: Counter[int]) -> None:
    """Send small lookups and bookings one after another; each has to be answered in its time.

    Raises:
        TimeoutError: There was no answer LATE_S after a request's time.
    """
    kept: list[Connection] = []
    serial = 0
    while not until.is_set():
        serial += 1
        rid = f"{name}-{serial}".encode()
        request = message("put" if serial % 2 else "read", rid=rid, deadline=f"{TIME_MS}m")
        async with asyncio.timeout(TIME_MS / 1000 + LATE_S):
            await ask(rig, request, statuses, kept)
        await asyncio.sleep(PAUSE_S)
    for _, writer in kept:
        writer.close()


def start_usual_clients(rig: Rig, until: asyncio.Event, statuses: Counter[int]) -> list[asyncio.Task[None]]:
    """Start USUAL_CLIENTS, which count their statuses until the event is set."""
    return [
        asyncio.create_task(usual_client(rig, f"u{number}", until, statuses))
        for number in range(USUAL_CLIENTS)
    ]


def shares(statuses: Counter[int]) -> str:
    """The shares of requests that were served, rejected, and ended without an answer."""
    total = max(statuses.total(), 1)
    others = {status: count for status, count in statuses.items() if status not in (200, 503)}
    return f"200: {statuses[200] / total:.0%}, 503: {statuses[503] / total:.0%}, others: {others}"
