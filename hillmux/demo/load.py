"""Traffic of one tenant's partners: open-loop, over keep-alive connections, with a count of every answer."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter

from hillmux.hosted.stats import LatencyHistogram

MAX_IN_FLIGHT = 256  # further requests are not sent, and counted in `unsent`
TICK_S = 0.005  # interval at which due requests are sent
ANSWER_TIMEOUT_S = 15.0
BOOKING_SHARE = 0.32  # share of bookings among the requests


class Load:
    """Sends requests of one tenant at a rate that may change.

    Attributes:
        tenant: The tenant's id.
        rate: Requests per second.
        sent: Requests sent.
        unsent: Requests that were due while `MAX_IN_FLIGHT` others were in flight.
        served: Requests answered with status 200.
        failed: Requests answered with any status other than 200, 404, 410, 429 and 503.
        unanswered: Requests without an answer, after a connection error or a time-out.
        rejected: Requests answered with status 429 or 503, by the reason in the answer.
        not_found: Requests answered with status 404 or 410.
        latencies: Latencies of served requests in milliseconds.
        units: Units of served requests.
    """

    def __init__(
        self, port: int, tenant: str, host: str, partners: list[str], rate: float, seed: int
    ) -> None:
        self.tenant, self.rate = tenant, rate
        self._port, self._host, self._partners = port, host, partners
        self._random = random.Random(seed)
        self._idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._in_flight: set[asyncio.Task[None]] = set()
        self._request_count = 0
        self.sent = self.unsent = self.served = self.failed = self.unanswered = 0
        self.rejected: Counter[str] = Counter()
        self.not_found = 0
        self.latencies = LatencyHistogram()
        self.units = 0.0
        self._stopped = False

    def answered(self) -> int:
        """Return the number of requests that have been answered."""
        return self.served + self.failed + self.not_found + sum(self.rejected.values())

    async def run(self) -> None:
        """Send requests until stopped, then wait for those in flight and close the connections."""
        loop = asyncio.get_running_loop()
        due_requests, last_tick = 0.0, loop.time()
        while not self._stopped:
            await asyncio.sleep(TICK_S)
            now = loop.time()
            due_requests, last_tick = due_requests + self.rate * (now - last_tick), now
            while due_requests >= 1:
                due_requests -= 1
                if len(self._in_flight) >= MAX_IN_FLIGHT:
                    self.unsent += 1
                    continue
                task = loop.create_task(self._run_request())
                self._in_flight.add(task)
                task.add_done_callback(self._in_flight.discard)
        if self._in_flight:
            await asyncio.wait(self._in_flight)
        for _, writer in self._idle_connections:
            writer.close()

    def stop(self) -> None:
        """Stop sending requests."""
        self._stopped = True

    async def _run_request(self) -> None:
        self._request_count += 1
        self.sent += 1
        sent_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status, _, body = await self._send_random_request()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.unanswered += 1
            return
        if status == 200:
            self.served += 1
            self.units += 1
            self.latencies.add((asyncio.get_running_loop().time() - sent_at) * 1000)
        elif status in (404, 410):
            self.not_found += 1
        elif status in (429, 503):
            self.rejected[_reject_reason(body)] += 1
        else:
            self.failed += 1

    async def _send_random_request(self) -> tuple[int, dict[str, str], bytes]:
        partner = self._random.choice(self._partners)
        # All tenants use the same ids on purpose: the gateway must keep the requests of tenants apart.
        request_id = f"{self._request_count:016x}"
        if self._random.random() < BOOKING_SHARE:
            head = (
                f"POST /api/bookings/{partner} HTTP/1.1\r\n"
                f"Idempotency-Key: {request_id}\r\nContent-Length: 2\r\n"
            )
            body = "{}"
        else:
            head, body = f"GET /api/slots/{partner} HTTP/1.1\r\n", ""
        data = f"{head}Host: {self._host}\r\nX-Request-Id: {request_id}\r\n\r\n{body}".encode()
        if self._idle_connections:
            reader, writer = self._idle_connections.pop()
            try:
                return await self._exchange(reader, writer, data)
            except (OSError, asyncio.IncompleteReadError) as error:
                # The gateway may close an idle connection at any time; send once more on a new one.
                if isinstance(error, asyncio.IncompleteReadError) and error.partial:
                    raise
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        return await self._exchange(reader, writer, data)

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes
    ) -> tuple[int, dict[str, str], bytes]:
        reusable = False
        try:
            writer.write(data)
            status, headers, body = await read_answer(reader)
            reusable = headers.get("connection") != "close"
        finally:
            if reusable:
                self._idle_connections.append((reader, writer))
            else:
                writer.close()
        return status, headers, body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Read one complete answer; return its status, headers by lower-case name, and body."""
    line, *rest = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (r.partition(":") for r in rest if r)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(line.split()[1]), headers, body


def _reject_reason(body: bytes) -> str:
    try:
        return str(json.loads(body)["detail"]) or "unknown"
    except (ValueError, KeyError, TypeError):
        return "unknown"
