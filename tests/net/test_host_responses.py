"""Malformed, interim and unsolicited responses of hosts, tested on a real gateway process."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from conftest import (
    Rig,
    Seen,
    message,
    on_loop,
    read_message,
    reply,
)
from fakes.host_behaviours import serve

from hillmux.net.idle_connections import REUSE_DELAY_S

MALFORMED_RESPONSES = [
    b"noise\r\n\r\n",
    b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\nzz\r\n",
    b"HTTP/1.1 200 OK\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 300_000,
    b"HTTP/1.1 103 Early Hints\r\n\r\n" * 20_000,
]


@pytest.mark.parametrize("answer", MALFORMED_RESPONSES)
def test_malformed_response_fails_the_attempt_and_not_its_host(tmp_path: Path, answer: bytes) -> None:
    """A malformed response ends its attempt at once as one that may have run.

    Neither its bytes nor its connection may be used again, and its host must not be ejected.
    """

    async def scenario() -> None:
        async with Rig(
            tmp_path, lambda seen: answer if seen.headers["x-request-id"] == "bad" else serve(seen)
        ) as rig:
            assert await rig.status(message("pay", rid=b"bad")) == 502  # not idempotent, so not retried
            await rig.hosts[0].until(lambda fake: fake.closed == 1)
            for i in range(3):  # guards against ejecting the host
                assert await rig.status(message("pay", rid=b"id-%d" % i)) == 200
            assert rig.process.returncode is None

    on_loop(scenario, 5)


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("extra_data", [reply(b"copy"), b"noise\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-"])
def test_data_after_a_response_is_not_used_for_the_next_request(
    tmp_path: Path, extra_data: bytes, late: bool
) -> None:
    """A second copy of a response, in the same packet or a later one, must not answer the next request."""

    async def scenario() -> None:
        def behave(seen: Seen) -> bytes:
            answer = reply(seen.headers["x-request-id"].encode())
            if not late:
                return answer + extra_data
            seen.writer.write(answer)
            asyncio.get_running_loop().call_later(REUSE_DELAY_S / 4, seen.writer.write, extra_data)
            return None

        async with Rig(tmp_path, behave) as rig:
            reader, writer = await rig.connect()
            for i in range(10):
                writer.write(message("pay", rid=b"id-%d" % i))
                assert (await read_message(reader, writer)).body == b"id-%d" % i
            assert len({id(s.writer) for s in rig.hosts[0].seen}) == 10

    on_loop(scenario)


def test_interim_responses_are_skipped(tmp_path: Path) -> None:
    async def scenario() -> None:
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
        async with Rig(tmp_path, lambda seen: interim + serve(seen)) as rig:
            assert (await rig.ask(message())).body == b"served"

    on_loop(scenario)


@pytest.mark.parametrize("figure", [b"1_0", b"-1", b"5", b"1e9", b"nan", b"", b"9" * 400])
def test_impossible_billed_units_are_ignored(tmp_path: Path, figure: bytes) -> None:
    """Guards a customer's quota: for a value above `most_units` (4) the estimate of 2 is billed instead."""

    async def scenario() -> None:
        async with Rig(tmp_path, lambda seen: reply(b"ok", headers=b"Billed-Units: %b\r\n" % figure)) as rig:
            for i in range(30):
                assert await rig.status(message(rid=b"id-%d" % i)) == 200
            await rig.counter.until(lambda fake: sum(rig.totals.values()) > 0)
            assert sum(rig.totals.values()) <= 60

    on_loop(scenario)
