"""Commands sent at once, in pieces: the time that a later one has lain unparsed is not taken off its time."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import standins_2 as s

LATE_S = 0.5  # an answer later than this after the request's time is lost
DEADLINE_SLACK_S = 0.15  # of the time that an attempt tells its host
DEADLINE_MS = 3000  # half of the class's time: a try is given up after 50 to 100% of it
CLIENTS, AT_ONCE, WORK_S = 4, 10, 0.45
BETWEEN_PIECES_S = 0.02


class TellingHost(s.Host):
    """A host that keeps the time that each attempt tells it."""

    def __init__(self, name: str, record: s.Record) -> None:
        super().__init__(name, record, WORK_S)
        self.told: dict[str, tuple[float, float]] = {}  # by id: when it came whole, and the time told, in s

    async def answer(self, message: s.Message, rid: str, writer: asyncio.StreamWriter) -> None:
        """Keep the time that the attempt tells, and answer."""
        text = message.headers["x-deadline"]
        self.told[rid] = (time.monotonic(), float(text[:-1]) / (1e3 if text[-1] == "m" else 1e6))
        self.record.note(f"host {self.name}: {rid} tells X-Deadline {text}")
        await super().answer(message, rid, writer)


class Sent:
    """A request of the case, by monotonic times."""

    def __init__(self, rid: str, data: bytes) -> None:
        self.rid, self.data = rid, data
        self.sent_at = self.answered_at = 0.0
        self.status = 0


async def ask(world: s.World, gateway: s.Gateway, number: int, requests: list[Sent]) -> None:
    """Send requests on one connection, in pieces or as one, and read their answers in order."""
    record = world.record
    reader, writer = await asyncio.open_connection(s.LOOPBACK, gateway.port)
    writer.get_extra_info("socket").setsockopt(s.socket.IPPROTO_TCP, s.socket.TCP_NODELAY, 1)

    async def send() -> None:
        if not s.TROUBLE:
            writer.write(b"".join(request.data for request in requests))
        for request in requests:
            request.sent_at = time.monotonic()
            record.note(f"client {number} sends {request.rid} to {gateway.name}, {DEADLINE_MS} ms")
            if s.TROUBLE:
                writer.write(request.data)
                await asyncio.sleep(BETWEEN_PIECES_S)

    sending = asyncio.create_task(send())
    for request in requests:
        message = await s.read_message(reader)
        if message is None:
            break
        request.answered_at, request.status = time.monotonic(), message.status
        record.note(f"client {number} got {message.status} for {request.rid}")
    await sending
    writer.close()


async def case(world: s.World) -> int:
    """Play the case: clients send some commands at once, and each takes its usual work at a host."""
    record = world.record
    hosts = [TellingHost(f"s-{letter}", record) for letter in "abcdefghij"]
    agents = [s.Agent(name, record, [host.entry() for host in hosts]) for name in ("g0", "g1")]
    counter = s.Counter()
    await world.opened(*hosts, *agents, counter)
    gateways = [
        s.Gateway(f"g{n}", record, world.scratch, agents[n], counter, s.settings(n, 2)) for n in range(2)
    ]
    await world.started(*gateways)
    by_client = [
        [
            Sent(*s.request_bytes(100 * number + place, True, 2, deadline_ms=DEADLINE_MS))
            for place in range(AT_ONCE)
        ]
        for number in range(CLIENTS)
    ]
    async with asyncio.timeout(30):
        await asyncio.gather(*(ask(world, gateways[n % 2], n, by_client[n]) for n in range(CLIENTS)))

    requests = [request for requests in by_client for request in requests]
    told = {rid: values for host in hosts for rid, values in host.told.items()}
    late = unanswered = over = 0
    for request in requests:
        until = request.sent_at + DEADLINE_MS / 1000
        unanswered += not request.status
        if request.status and request.answered_at > until + LATE_S:
            late += 1
            record.note(f"{request.rid}: {request.status} {request.answered_at - until:.3f} s after its time")
        if request.rid in told:
            at, tells = told[request.rid]
            if tells > until - at + DEADLINE_SLACK_S:
                over += 1
                record.note(f"{request.rid}: told {tells:.3f} s, its client had {until - at:.3f} s left")
    record.note(
        f"{len(requests)} sent, {unanswered} never answered, {late} over {LATE_S} s after their time;"
        f" {len(told)} forwarded, {over} of them with more time than the client had left"
    )
    if len(told) < CLIENTS:
        return s.COULD_NOT_RUN
    return s.BROKEN if late or unanswered else s.HELD


if __name__ == "__main__":
    sys.exit(s.main(__file__, case))
