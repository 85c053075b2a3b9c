"""Bodies and answers that are passed on as they come: the real program between scripted peers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from conftest import Rig, instance, message, on_loop, read_message
from fakes.raw import Peer, RawHost, Script

from hillmux.net.http1 import MAX_BUFFERED_BODY_BYTES
from hillmux.net.streamed_body import MAX_REPLAYABLE_BYTES
from hillmux.net.streaming_client import MAX_STREAMED_REQUEST_BYTES

LONG = 300_000
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Type: x/y\r\n\r\n"


@contextlib.asynccontextmanager
async def rig_of(folder: Path, *scripts: Script) -> AsyncIterator[Rig]:
    """The program before scripted hosts."""
    hosts = [await RawHost(script).start() for script in scripts]
    rig = Rig(folder, operated=True)
    rig.others = [instance(f"r-{i}", host.port) for i, host in enumerate(hosts)]
    async with rig:
        yield rig
    for host in hosts:
        host.stop()
        assert not host.errors


def put(size: int, rid: bytes = b"up", **changes: str) -> tuple[bytes, bytes]:
    """A keyed request's head, and a body of `size`."""
    body = bytes(i % 251 for i in range(1000)) * (size // 1000 + 1)
    whole = message("put", rid=rid, body=body[:size], **changes)
    return whole[:-size], whole[-size:]


def chunked(data: bytes, step: int) -> bytes:
    pieces = (data[at : at + step] for at in range(0, len(data), step))
    return b"".join(b"%x;ext=1\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\nX-Request-Id: other\r\n\r\n"


async def chunks(reader: asyncio.StreamReader) -> bytes:
    """A chunked body up to its end."""
    pieces = []
    while size := int(await reader.readline(), 16):
        pieces.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)
    return b"".join(pieces)


# --- Answers ---


def test_a_long_answer_begins_before_it_has_come_whole(tmp_path: Path) -> None:
    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(peer: Peer) -> None:
            while True:
                await peer.head()
                await peer.write(HEAD % LONG + b"a" * 1000)
                await go_on.wait()
                await peer.write(b"b" * (LONG - 1000))

        async with rig_of(tmp_path, script) as rig:
            reader, writer = await rig.connect()
            for rid in (b"one", b"two"):  # the connection goes on, on both sides
                go_on.clear()
                writer.write(message(rid=rid))
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                assert f"Content-Length: {LONG}" in head and "Content-Type: x/y" in head
                assert await reader.readexactly(1000) == b"a" * 1000
                assert (await rig.figures())["in_progress"] == 1
                go_on.set()
                assert await reader.readexactly(LONG - 1000) == b"b" * (LONG - 1000)
            figures = await rig.figures()
            assert (figures["passed"]["read"], figures["in_progress"]) == (2, 0)

    on_loop(scenario)


@pytest.mark.parametrize(
    "size", [10, MAX_BUFFERED_BODY_BYTES - 1, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES + 1, LONG]
)
@pytest.mark.parametrize("form", ["chunks", "bytes", "close", "old"])
def test_every_form_of_an_answer_comes_whole(tmp_path: Path, size: int, form: str) -> None:
    """In chunks with extensions and trailers, in chunks of a byte, up to the close, as HTTP/1.0 has it."""

    async def scenario() -> None:
        body = bytes(i % 253 for i in range(size))

        async def script(peer: Peer) -> None:
            await peer.head()
            if form in ("chunks", "bytes"):
                await peer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                await peer.write(chunked(body, 1 if form == "bytes" else 4000))
                await peer.closed()
            else:
                version = b"1.0" if form == "old" else b"1.1"
                await peer.write(b"HTTP/%b 200 OK\r\nConnection: close \r\n\r\n%b" % (version, body))

        async with rig_of(tmp_path, script) as rig:
            reader, writer = await rig.connect()
            writer.write(message())
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            assert head.startswith("HTTP/1.1 200")
            got = await (chunks(reader) if "chunked" in head else reader.readexactly(size))
            assert got == body

    on_loop(scenario)


def test_an_answer_that_says_neither_length_nor_close_is_not_waited_for(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def script(peer: Peer) -> None:
            await peer.head()
            await peer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf of it")
            await peer.closed()

        async with rig_of(tmp_path, script) as rig:
            assert await rig.status(message("put")) == 502

    on_loop(scenario, 5)


def test_an_old_client_gets_a_long_answer_up_to_the_close(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def script(peer: Peer) -> None:
            await peer.head()
            await peer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            await peer.write(chunked(b"z" * LONG, 9000))

        async with rig_of(tmp_path, script) as rig:
            reader, writer = await rig.connect()
            writer.write(message().replace(b"HTTP/1.1", b"HTTP/1.0"))
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            assert "chunked" not in head and "Connection: close" in head
            assert await reader.read(-1) == b"z" * LONG

    on_loop(scenario)


@pytest.mark.parametrize("framing", [b"Content-Length: %d" % LONG, b"Transfer-Encoding: chunked"])
@pytest.mark.parametrize("then", ["reset", "close", "noise"])
def test_an_answer_that_breaks_off_is_seen_to_be_cut_and_is_not_repeated(
    tmp_path: Path, framing: bytes, then: str
) -> None:
    async def scenario() -> None:
        seen = []

        async def script(peer: Peer) -> None:
            seen.append(await peer.head())
            piece = b"a" * 100_000
            if b"chunked" in framing:
                piece = b"%x\r\n%b\r\n" % (len(piece), piece)
            await peer.write(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n%b" % (framing, piece))
            await asyncio.sleep(0.1)
            if then == "reset":
                peer.writer.transport.abort()
            elif then == "noise" and b"chunked" in framing:
                await peer.write(b"\x00nonsense\r\n" * 10)
                await peer.closed()

        async with rig_of(tmp_path, script, script) as rig:
            reader, writer = await rig.connect()
            writer.write(message())
            await reader.readuntil(b"\r\n\r\n")
            got = b""
            with contextlib.suppress(ConnectionError):
                got = await reader.read(-1)
            assert len(got) < LONG and not got.endswith(b"0\r\n\r\n")
            await asyncio.sleep(0.1)
            assert len(seen) == 1
            figures = await rig.figures()
            assert (figures["passed"]["read"], figures["bad_gateway"]["read"]) == (0, 1)
            assert await rig.status(b"GET /ready HTTP/1.1\r\n\r\n") == 200

    on_loop(scenario)


def test_a_client_that_leaves_ends_the_answer_at_the_host(tmp_path: Path) -> None:
    async def scenario() -> None:
        ended = asyncio.Event()

        async def script(peer: Peer) -> None:
            await peer.head()
            await peer.write(HEAD % LONG + b"a" * 100_000)
            await peer.closed()
            ended.set()

        async with rig_of(tmp_path, script) as rig:
            reader, writer = await rig.connect()
            writer.write(message())
            await reader.readexactly(50_000)
            writer.close()
            await ended.wait()
            assert (await rig.figures())["in_progress"] == 0

    on_loop(scenario)


def test_a_slow_client_holds_the_host_back_and_still_gets_all(tmp_path: Path) -> None:
    """What a client does not read is not gathered: the host is held back instead."""

    async def scenario() -> None:
        size, written = 32 * 1024 * 1024, [0]

        async def script(peer: Peer) -> None:
            await peer.head()
            await peer.write(HEAD % size)
            for _ in range(size // 65536):
                await peer.write(b"q" * 65536)
                written[0] += 65536
            await peer.closed()

        async with rig_of(tmp_path, script) as rig:
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.port, limit=65536)
            writer.write(message(deadline="1500m"))
            await reader.readuntil(b"\r\n\r\n")
            last = -1
            while written[0] != last:  # until the host is held back
                last = written[0]
                await asyncio.sleep(0.4)
            assert written[0] < size
            await asyncio.sleep(1.2)  # past its deadline: it has begun in time
            left = size
            while left:
                got = len(await reader.read(1 << 20))
                assert got
                left -= got
            assert (await rig.figures())["passed"]["read"] == 1

    on_loop(scenario)


def test_one_that_says_three_gigabytes_is_not_begun(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def script(peer: Peer) -> None:
            await peer.head()
            await peer.write(HEAD % 3_000_000_000 + b"a" * 100_000)
            await peer.closed()

        async with rig_of(tmp_path, script) as rig:
            assert await rig.status(message("put")) == 502

    on_loop(scenario)


# --- Bodies ---


def echo(seen: list[tuple[str, bytes]]) -> Script:
    async def script(peer: Peer) -> None:
        while True:
            head = await peer.head()
            seen.append((head, await peer.body(head)))
            await peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    return script


@pytest.mark.parametrize(
    "size", [MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES + 1, MAX_REPLAYABLE_BYTES + 70_000, 5_000_000]
)
@pytest.mark.parametrize("form", ["length", "chunks"])
def test_every_form_of_a_body_arrives_whole(tmp_path: Path, size: int, form: str) -> None:
    async def scenario() -> None:
        seen: list[tuple[str, bytes]] = []
        async with rig_of(tmp_path, echo(seen)) as rig:
            reader, writer = await rig.connect()
            for rid in (b"one", b"two"):
                head, body = put(size, rid)
                if form == "chunks":
                    head = message(
                        "put", rid=rid, drop="Content-Length", more="Transfer-Encoding: chunked\r\n"
                    )
                writer.write(head + (chunked(body, 3000) if form == "chunks" else body))
                assert (await read_message(reader, writer)).body == b"ok"
            assert [got for _, got in seen] == [body, body]
            assert ["one" in seen[0][0], "two" in seen[1][0]] == [True, True]
            assert (await rig.figures())["upstream_tries"] == 2

    on_loop(scenario)


def test_its_time_runs_from_the_last_byte(tmp_path: Path) -> None:
    async def scenario() -> None:
        seen: list[tuple[str, bytes]] = []
        async with rig_of(tmp_path, echo(seen)) as rig:
            reader, writer = await rig.connect()
            head, body = put(200_000, deadline="400m")
            writer.write(head + body[:150_000])
            await asyncio.sleep(0.8)
            writer.write(body[150_000:])
            assert (await read_message(reader, writer)).line.split()[1] == "200"
            assert seen[0][1] == body

    on_loop(scenario)


def test_a_host_that_is_silent_after_the_last_byte_costs_the_deadline(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def script(peer: Peer) -> None:
            await peer.body(await peer.head())
            await peer.closed()

        async with rig_of(tmp_path, script) as rig:
            reader, writer = await rig.connect()
            writer.write(b"".join(put(200_000, deadline="400m")))
            assert (await read_message(reader, writer)).line.split()[1] in ("502", "504")

    on_loop(scenario, 8)


def test_one_that_is_refused_early_is_read_to_its_end_and_the_connection_goes_on(tmp_path: Path) -> None:
    async def scenario() -> None:
        seen: list[tuple[str, bytes]] = []
        async with rig_of(tmp_path, echo(seen)) as rig:
            reader, writer = await rig.connect()
            statuses = []
            for i in range(6):
                head, body = put(600_000, b"id-%d" % i, plan="small")
                writer.write(head + body[:300_000])
                await asyncio.sleep(0.02)
                writer.write(body[300_000:])
                statuses.append((await read_message(reader, writer)).line.split()[1])
            assert set(statuses) == {"200", "503"}
            assert len(seen) == statuses.count("200")
            writer.write(message(rid=b"next"))
            assert (await read_message(reader, writer)).body == b"ok"

    on_loop(scenario)


@pytest.mark.parametrize("size", [200_000, 1_000_000])
def test_a_body_that_stands_still_is_answered_and_never_runs(tmp_path: Path, size: int) -> None:
    async def scenario() -> None:
        seen: list[tuple[str, bytes]] = []
        async with rig_of(tmp_path, echo(seen)) as rig:
            reader, writer = await rig.connect()
            head, body = put(size)
            writer.write(head + body[:-1])
            answer = await read_message(reader, writer)
            assert (answer.line.split()[1], answer.headers["connection"]) == ("408", "close")
            assert not seen
            assert (await rig.figures())["in_progress"] == 0

    on_loop(scenario)


def test_a_client_that_leaves_in_its_body_ends_the_attempt(tmp_path: Path) -> None:
    async def scenario() -> None:
        ended: list[bytes] = []

        async def script(peer: Peer) -> None:
            await peer.head()
            ended.append(await peer.closed())

        async with rig_of(tmp_path, script) as rig:
            _, writer = await rig.connect()
            head, body = put(1_000_000)
            writer.write(head + body[:500_000])
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.close()
            while not ended:
                await asyncio.sleep(0.01)
            assert len(ended[0]) < 1_000_000
            assert (await rig.figures())["in_progress"] == 0

    on_loop(scenario)


@pytest.mark.parametrize(("size", "status"), [(100_000, "200"), (3_000_000, "503")])
@pytest.mark.parametrize("turns_away", [True, False])
def test_a_host_that_will_not_have_it_never_ran_it(
    tmp_path: Path, size: int, status: str, turns_away: bool
) -> None:
    """Turned away, or reset, before the last byte: kept whole it goes to another, else it is refused."""

    async def scenario() -> None:
        seen: list[tuple[str, bytes]] = []
        first: list[str] = []
        served = echo(seen)

        async def script(peer: Peer) -> None:
            if first:
                await served(peer)
                return
            first.append(await peer.head())
            if size > MAX_REPLAYABLE_BYTES:
                await peer.reader.readexactly(2 * MAX_REPLAYABLE_BYTES)
            if turns_away:
                await peer.write(b"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
                await peer.closed()
            else:
                peer.writer.transport.abort()

        async with rig_of(tmp_path, script, script) as rig:
            reader, writer = await rig.connect()
            head, body = put(size)
            writer.write(head + body[:-1])
            while not first:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            writer.write(body[-1:])
            assert (await read_message(reader, writer)).line.split()[1] == status
            assert [got for _, got in seen] == ([body] if status == "200" else [])

    on_loop(scenario)


def test_a_body_without_end_is_turned_away(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def script(peer: Peer) -> None:
            await peer.head()
            with contextlib.suppress(ConnectionError):
                while await peer.reader.read(1 << 20):
                    pass

        async with rig_of(tmp_path, script) as rig:
            reader, writer = await rig.connect()
            writer.write(message("put", drop="Content-Length", more="Transfer-Encoding: chunked\r\n"))
            piece = b"10000\r\n" + b"x" * 65536 + b"\r\n"

            async def flood() -> None:
                with contextlib.suppress(ConnectionError):
                    for _ in range(MAX_STREAMED_REQUEST_BYTES // 65536 + 100):
                        writer.write(piece)
                        await writer.drain()

            flooding = asyncio.create_task(flood())
            with contextlib.suppress(ConnectionError):  # the close may overtake the answer
                assert (await reader.readline()).split()[1] == b"413"
            await flooding
            assert (await rig.figures())["bad_gateway"]["put"] == 1
            assert (await rig.figures())["upstream_tries"] == 0

    on_loop(scenario)


def test_a_long_body_behind_an_open_request_has_its_turn(tmp_path: Path) -> None:
    async def scenario() -> None:
        seen: list[tuple[str, bytes]] = []
        go_on = asyncio.Event()
        served = echo(seen)

        async def script(peer: Peer) -> None:
            if not go_on.is_set():
                await peer.head()
                await go_on.wait()
                await peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
            await served(peer)

        async with rig_of(tmp_path, script) as rig:
            reader, writer = await rig.connect()
            head, body = put(700_000)
            writer.write(message(rid=b"first") + head + body)
            await asyncio.sleep(0.2)
            go_on.set()
            assert (await read_message(reader, writer)).body == b"first"
            assert (await read_message(reader, writer)).body == b"ok"
            assert seen[0][1] == body

    on_loop(scenario)


def test_blanks_absolute_targets_and_trailers_are_what_they_are(tmp_path: Path) -> None:
    async def scenario() -> None:
        seen: list[tuple[str, bytes]] = []
        async with rig_of(tmp_path, echo(seen)) as rig:
            raw = message("put", body=b"abc", target="http://Any.Host:80/api/00000000b4d65521?x=/")
            raw = raw.replace(b"Content-Length: 3", b"Content-Length:\t3 \t")
            raw = raw.replace(b"X-Class: put", b"X-Class:put  ")
            assert await rig.status(raw) == 200
            head = message("put", rid=b"tr", drop="Content-Length", more="Transfer-Encoding: chunked\r\n")
            assert await rig.status(head + chunked(b"abc", 1)) == 200
            assert seen[0][0].startswith("POST /api/00000000b4d65521?x=/ HTTP/1.1")
            assert [body for _, body in seen] == [b"abc", b"abc"]
            assert "X-Request-Id: tr\r\n" in seen[1][0]

    on_loop(scenario)


def test_a_slow_head_is_waited_for(tmp_path: Path) -> None:
    async def scenario() -> None:
        seen: list[tuple[str, bytes]] = []
        async with rig_of(tmp_path, echo(seen)) as rig:
            reader, writer = await rig.connect()
            raw = b"".join(put(20_000))
            for piece in (raw[:40], raw[40:90], raw[90:5000], raw[5000:19_000], raw[19_000:]):
                writer.write(piece)
                await asyncio.sleep(0.9)
            assert (await read_message(reader, writer)).body == b"ok"

    on_loop(scenario)
