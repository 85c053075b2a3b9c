"""Traffic of one tenant's partners: open-loop, over kept connections, every answer counted."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter

from hillmux.hosted.stats import LatencyHistogram

MOST_OUT = 256  # requests out at once; what would be due beyond them is counted as not sent
TICK_S = 0.005
ANSWER_S = 15.0
BOOKINGS = 0.32  # share of bookings among the requests


class Load:
    """Requests of one tenant at a rate that may change."""

    def __init__(
        self, port: int, tenant: str, host: str, partners: list[str], rate: float, seed: int
    ) -> None:
        self.tenant, self.rate = tenant, rate
        self._port, self._host, self._partners = port, host, partners
        self._random = random.Random(seed)
        self._free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._serial = 0
        self.sent = self.unsent = self.served = self.failed = self.unanswered = 0
        self.refused: Counter[str] = Counter()  # by cause
        self.gone = 0  # answered 404 or 410
        self.times = LatencyHistogram()
        self.units = 0.0
        self._stopped = False

    def answered(self) -> int:
        """Requests that had their one answer."""
        return self.served + self.failed + self.gone + sum(self.refused.values())

    async def run(self) -> None:
        """Send until stopped, then wait for what is out."""
        loop = asyncio.get_running_loop()
        due, last = 0.0, loop.time()
        while not self._stopped:
            await asyncio.sleep(TICK_S)
            now = loop.time()
            due, last = due + self.rate * (now - last), now
            while due >= 1:
                due -= 1
                if len(self._tasks) >= MOST_OUT:
                    self.unsent += 1
                    continue
                task = loop.create_task(self._one())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks)
        for _, writer in self._free:
            writer.close()

    def stop(self) -> None:
        """Send no more."""
        self._stopped = True

    async def _one(self) -> None:
        self._serial += 1
        self.sent += 1
        began = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(ANSWER_S):
                status, _, body = await self._ask()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.unanswered += 1
            return
        if status == 200:
            self.served += 1
            self.units += 1
            self.times.add((asyncio.get_running_loop().time() - began) * 1000)
        elif status in (404, 410):
            self.gone += 1
        elif status in (429, 503):
            self.refused[_cause(body)] += 1
        else:
            self.failed += 1

    async def _ask(self) -> tuple[int, dict[str, str], bytes]:
        partner = self._random.choice(self._partners)
        # Ids are the same at all tenants on purpose: none of them must see another's.
        rid = f"{self._serial:016x}"
        if self._random.random() < BOOKINGS:
            head = f"POST /api/bookings/{partner} HTTP/1.1\r\nIdempotency-Key: {rid}\r\nContent-Length: 2\r\n"
            body = "{}"
        else:
            head, body = f"GET /api/slots/{partner} HTTP/1.1\r\n", ""
        data = f"{head}Host: {self._host}\r\nX-Request-Id: {rid}\r\n\r\n{body}".encode()
        if self._free:
            reader, writer = self._free.pop()
            try:
                return await self._exchange(reader, writer, data)
            except (OSError, asyncio.IncompleteReadError) as error:
                # The gateway may close a kept connection between requests: once more on a new one.
                if isinstance(error, asyncio.IncompleteReadError) and error.partial:
                    raise
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        return await self._exchange(reader, writer, data)

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes
    ) -> tuple[int, dict[str, str], bytes]:
        kept = False
        try:
            writer.write(data)
            status, headers, body = await read_answer(reader)
            kept = headers.get("connection") != "close"
        finally:
            if kept:
                self._free.append((reader, writer))
            else:
                writer.close()
        return status, headers, body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """One answer, whole: status, headers by lower-case name, body."""
    line, *rest = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (r.partition(":") for r in rest if r)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(line.split()[1]), headers, body


def _cause(body: bytes) -> str:
    try:
        return str(json.loads(body)["detail"]) or "unknown"
    except (ValueError, KeyError, TypeError):
        return "unknown"
