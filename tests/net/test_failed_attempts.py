"""Failed attempts and their retries, tested on a real gateway process."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest
from conftest import (
    Rig,
    Seen,
    message,
    on_loop,
    reply,
)
from fakes.host_behaviours import serve, silent

from hillmux.net.idle_connections import REUSE_DELAY_S


@pytest.mark.parametrize(("cls", "status", "attempts"), [("read", 200, 2), ("put", 200, 2), ("pay", 502, 1)])
def test_reset_after_last_byte_is_retried_only_if_idempotent(
    tmp_path: Path, cls: str, status: int, attempts: int
) -> None:
    async def scenario() -> None:
        answers = iter((b"", reply(b"served")))
        async with Rig(tmp_path, lambda _: next(answers), lambda _: next(answers)) as rig:
            assert await rig.status(message(cls)) == status
            assert sum(len(host.seen) for host in rig.hosts) == attempts

    on_loop(scenario)


@pytest.mark.parametrize(
    ("answer", "status", "attempts"),
    [
        (reply(b"", 503, b"X-Not-Run: 1\r\n"), 200, 2),
        (reply(b"", 504, b"X-Not-Run: 1\r\n"), 200, 2),
        (reply(b"", 503), 502, 1),
        (reply(b"", 500), 502, 1),
        (reply(b"", 500, b"X-Not-Run: 1\r\n"), 502, 1),
        (reply(b"", 204), 502, 1),
        (b"HTTP/1.1 nonsense\r\n\r\n", 502, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 502, 1),
    ],
)
def test_non_idempotent_request_is_retried_only_after_x_not_run(
    tmp_path: Path, answer: bytes, status: int, attempts: int
) -> None:
    async def scenario() -> None:
        answers = iter((answer, reply(b"served")))

        def behave(seen: Seen) -> bytes:
            data = next(answers)
            if data.endswith(b"half"):
                seen.writer.write(data)
                seen.writer.close()  # closes in the middle of the response
                return None
            return data

        async with Rig(tmp_path, behave) as rig:
            assert await rig.status(message("pay")) == status
            assert len(rig.hosts[0].seen) == attempts

    on_loop(scenario)


def test_request_is_retried_after_refused_connection(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve, serve) as rig:
            rig.hosts[0].stop()  # its port refuses connections from here on
            for i in range(8):
                assert await rig.status(message("pay", rid=b"id-%d" % i)) == 200
            assert len(rig.hosts[1].seen) == 8

    on_loop(scenario)


def test_silent_host_times_out_and_its_connection_is_not_reused(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(
            tmp_path, lambda seen: None if seen.headers["x-request-id"] == "quiet" else serve(seen)
        ) as rig:
            assert await rig.status(message("pay", rid=b"quiet", deadline="400m")) in (502, 504)
            await rig.hosts[0].until(lambda fake: fake.closed == 1)  # this cancels the attempt at the host
            assert await rig.status(message(rid=b"next")) == 200
            assert [s.headers["x-request-id"] for s in rig.hosts[0].seen] == ["quiet", "next"]

    on_loop(scenario)


def test_response_read_after_a_stall_precedes_its_time_out(tmp_path: Path) -> None:
    """A response that arrives in time must not become a time-out because the gateway process was stalled.

    The stall stands for a process that gets no CPU time on an overloaded core.
    """

    async def scenario() -> None:
        async with Rig(tmp_path, silent) as rig:
            status_task = asyncio.create_task(rig.status(message("pay")))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            rig.process.send_signal(signal.SIGSTOP)
            rig.hosts[0].seen[0].writer.write(reply(b"served"))
            await rig.hosts[0].seen[0].writer.drain()
            await asyncio.sleep(3.3)  # past the attempt's time-out of 3 s, before the deadline of 6 s
            rig.process.send_signal(signal.SIGCONT)
            assert await status_task == 200

    on_loop(scenario)


def test_reset_of_idle_connection_is_no_failure_of_its_host(tmp_path: Path) -> None:
    """A host may drop idle connections without closing them and reset them on the next request.

    The request must be retried on a new connection, and the host must not be ejected.
    """

    async def scenario() -> None:
        used: set[int] = set()

        def behave(seen: Seen) -> bytes:
            is_reused = id(seen.writer) in used
            used.add(id(seen.writer))
            writers.append(seen.writer)
            return b"" if is_reused else serve(seen)

        writers: list[asyncio.StreamWriter] = []  # references that keep the ids in `used` unique
        async with Rig(tmp_path, behave) as rig:
            for i in range(10):
                assert await rig.status(message(rid=b"id-%d" % i)) == 200
                await asyncio.sleep(5 * REUSE_DELAY_S)
            assert not any("fails" in line for line in rig.log)
            assert len(rig.hosts[0].seen) == 19  # each request but the first was reset once

    on_loop(scenario)
