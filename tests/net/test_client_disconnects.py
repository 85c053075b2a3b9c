"""Client disconnects in each state of a connection: no further attempt starts, and no resource is kept."""

from __future__ import annotations

import asyncio
import socket
import struct
from pathlib import Path
from typing import Any

import pytest
from conftest import LOOP, Rig, Seen, instance, message, on_loop, read_message, reply
from fakes.client_connection import RecordingHandler
from fakes.raw import Peer, RawHost
from fakes.system import UnreachableHost, count_sockets, has_unread_input

from hillmux.net.forward_request import ForwardRequest
from hillmux.net.memory_budget import MIB, MemoryBudget
from hillmux.net.streaming_client import StreamingListener

RESET = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: the close sends a reset


def silent(seen: Seen) -> None:
    return None


def leave(writer: asyncio.StreamWriter, how: str) -> None:
    """Close, half-close or reset a client's connection."""
    sock = writer.get_extra_info("socket")
    if how == "half":
        writer.write_eof()
        return
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


@pytest.mark.parametrize("how", ["close", "half", "reset"])
@pytest.mark.parametrize("size", [0, 60_000])
def test_pipelined_requests_are_dropped_when_client_disconnects(tmp_path: Path, how: str, size: int) -> None:
    """Guards against forwarding requests pipelined behind the open one, even if they are still unread."""

    async def scenario() -> None:
        async with Rig(tmp_path, silent) as rig:
            (host,) = rig.hosts
            _, writer = await rig.connect()
            writer.write(message(rid=b"open"))
            await host.until(lambda fake: len(fake.seen) == 1)
            for i in range(12):
                writer.write(message("put", rid=b"behind-%d" % i, body=b"x" * size))
            await asyncio.sleep(0.05)  # the socket buffers have accepted what they can
            leave(writer, how)
            await host.until(lambda fake: fake.closed == 1)  # the gateway has abandoned the open attempt
            _, other = await rig.connect()
            other.write(message(rid=b"other"))
            await host.until(lambda fake: len(fake.seen) > 1)  # earlier requests would have arrived by now
            assert [seen.headers["x-request-id"] for seen in host.seen] == ["open", "other"]
            other.close()
            writer.transport.abort()

    on_loop(scenario, 10)


@pytest.mark.parametrize("how", ["close", "reset"])
def test_disconnect_is_noticed_while_body_is_paused(tmp_path: Path, how: str) -> None:
    """The connection is not being read then; its end must still be noticed and the dial cancelled."""

    async def scenario() -> None:
        with UnreachableHost() as host:
            rig = Rig(tmp_path)
            rig.others = [instance("s-0", host.port)]
            rig.change = lambda config: config["settings"]["bounds"].update(dial_timeout_ms=20_000.0)
            async with rig:
                _, writer = await rig.connect()
                head = message("put", drop="Content-Length", more="Content-Length: 30000000\r\n")
                writer.write(head + b"x" * 200_000)
                while not host.dialled():
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.1)
                writer.write(b"x" * 1000)
                while not has_unread_input(rig):
                    await asyncio.sleep(0.01)
                sockets_before = count_sockets(rig)
                leave(writer, how)
                while count_sockets(rig) > sockets_before - 2:  # until the client's and the dial's are closed
                    await asyncio.sleep(0.01)

    on_loop(scenario, 10)


class DisconnectRecorder(RecordingHandler):
    """Records at each request whether its client is seen to have left."""

    def __init__(self) -> None:
        super().__init__()
        self.seen_to_have_left: list[bool] = []

    def request(self, client: Any, forward_request: ForwardRequest) -> str:
        self.seen_to_have_left.append(client.has_disconnected(False))
        request_id = super().request(client, forward_request)
        if len(self.ids) == 1:
            client.answer(200)
            return ""
        return request_id

    def client_disconnected(self, request_id: str) -> None:
        """Nothing to end."""


@pytest.mark.parametrize("size", [10_000, 60_000, 70_000])
def test_client_that_left_behind_a_long_body_is_seen_before_an_attempt_is_sent(size: int) -> None:
    async def scenario() -> None:
        handler = DisconnectRecorder()
        loop = asyncio.get_running_loop()
        memory = MemoryBudget(4 * MIB, 1024)  # the body takes many reads
        listener = StreamingListener(handler, loop, 1024, memory)
        ((host, port),) = listener.start((LOOP, 0))
        sock = socket.create_connection((host, port))
        sock.sendall(message(rid=b"first"))
        while not handler.ids:
            await asyncio.sleep(0.01)
        assert sock.recv(1000)
        sock.sendall(message("put", rid=b"second", body=b"x" * size))
        sock.close()
        while len(handler.ids) < 2:
            await asyncio.sleep(0.01)
        assert handler.seen_to_have_left[1]
        listener.stop_accepting()

    on_loop(scenario)


def test_half_closed_client_that_does_not_read_is_closed(tmp_path: Path) -> None:
    """The transport closes only after the client has read its response; the attempt must end before that."""

    async def scenario() -> None:
        ended = asyncio.Event()

        async def long_answer(peer: Peer) -> None:
            await peer.head()
            peer.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n")
            try:
                while True:
                    await peer.write(b"x" * 65536)
            except ConnectionError:
                ended.set()

        host = await RawHost(long_answer).start()
        async with Rig(tmp_path, silent) as rig:
            rig.discovery.instances[0]["hostPort"] = f"127.0.0.1:{host.port}"
            await rig.discovery.send_update(rig.discovery.instances, is_full=True)
            _, writer = await rig.connect()
            writer.transport.pause_reading()
            writer.write(message())
            await asyncio.sleep(0.5)  # the buffers of both sides are full
            assert not ended.is_set()
            writer.write_eof()
            await ended.wait()
            writer.transport.abort()
        host.stop()

    on_loop(scenario, 8)


def test_long_bodies_behind_open_requests_are_forwarded_in_order(tmp_path: Path) -> None:
    """Guards against losing input beyond the read-ahead limit, where the gateway stops reading."""

    async def scenario() -> None:
        received: list[tuple[str, int]] = []
        respond = asyncio.Event()

        async def record_sizes(peer: Peer) -> None:
            while True:
                head = await peer.head()
                body = await peer.body(head)
                await respond.wait()
                received.append((head.split()[1], len(body)))
                await peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        host = await RawHost(record_sizes).start()
        rig = Rig(tmp_path)
        rig.others = [instance("s-0", host.port)]
        async with rig:
            reader, writer = await rig.connect()
            for i, size in enumerate((0, 100, 3_000_000, 10, 700_000, 0)):
                writer.write(message("put", rid=b"id-%d" % i, body=b"x" * size))
            await asyncio.sleep(0.2)
            respond.set()
            for _ in range(6):
                assert (await read_message(reader, writer)).body == b"ok"
            assert [size for _, size in received] == [0, 100, 3_000_000, 10, 700_000, 0]
            writer.close()
        host.stop()

    on_loop(scenario, 20)


def test_pipelining_client_gets_all_answers_in_order(tmp_path: Path) -> None:
    """Guards against losing or reordering requests that are read while an earlier one is open."""

    async def scenario() -> None:
        def echo(seen: Seen) -> bytes:
            return reply(seen.headers["x-request-id"].encode() + b"/%d" % len(seen.body))

        async with Rig(tmp_path, echo) as rig:
            reader, writer = await rig.connect()
            for i in range(40):  # more than MAX_PIPELINED allows in one piece
                writer.write(message("put", rid=b"id-%d" % i, body=b"x" * (30_000 + i)))
            for i in range(40):
                assert (await read_message(reader, writer)).body == b"id-%d/%d" % (i, 30_000 + i)
            writer.close()

    on_loop(scenario, 20)


def test_pieces_behind_unparsed_input_are_not_parsed_before_it(tmp_path: Path) -> None:
    """Guards against bytes of one request in the body of another."""

    async def scenario() -> None:
        async with Rig(tmp_path, silent) as rig:
            (host,) = rig.hosts
            reader, writer = await rig.connect()
            bodies = [bytes([ord("a") + i]) * 2000 for i in range(8)]
            requests = [message("put", rid=b"id-%d" % i, body=bodies[i]) for i in range(8)]
            middle = len(requests[0]) - 1000
            writer.write(requests[0])
            await host.until(lambda fake: len(fake.seen) == 1)
            for piece in (
                requests[1],
                requests[2] + requests[3] + requests[4][:middle],
                requests[4][middle:] + requests[5] + requests[6][:middle],
            ):
                writer.write(piece)
                await asyncio.sleep(0.05)  # so that the gateway reads each piece separately
            host.seen[0].writer.write(reply(b"0"))
            await host.until(lambda fake: len(fake.seen) == 2)
            writer.write(requests[6][middle:] + requests[7])
            await asyncio.sleep(0.05)
            for i in range(8):
                await host.until(lambda fake, i=i: len(fake.seen) > i)
                assert host.seen[i].body == bodies[i]
                if i:
                    host.seen[i].writer.write(reply(b"%d" % i))
                assert (await read_message(reader, writer)).body == b"%d" % i
            writer.close()

    on_loop(scenario, 10)


def test_pipelined_requests_that_arrive_piece_by_piece_are_not_counted_together(tmp_path: Path) -> None:
    """Guards against a 400 for the requests of a client that sends faster than its host answers."""

    async def scenario() -> None:
        def answer(seen: Seen) -> bytes | None:
            return reply(seen.headers["x-request-id"].encode()) if respond.is_set() else None

        respond = asyncio.Event()
        async with Rig(tmp_path, answer) as rig:
            (host,) = rig.hosts
            reader, writer = await rig.connect()
            sent = b"".join(message("put", rid=b"id-%d" % i, body=b"x" * 1000) for i in range(60))
            for start in range(0, len(sent), 5000):  # over four requests; most pieces end within one
                writer.write(sent[start : start + 5000])
                await asyncio.sleep(0.02)
            respond.set()
            first = host.seen[0]
            first.writer.write(reply(first.headers["x-request-id"].encode()))
            for i in range(60):
                assert (await read_message(reader, writer)).body == b"id-%d" % i
            writer.close()

    on_loop(scenario, 20)
