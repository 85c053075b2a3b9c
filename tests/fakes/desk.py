"""A listener in this process whose requests are answered when the test says so."""

from __future__ import annotations

import asyncio
import socket

from conftest import GRADES, LOOP, PACKAGES, instance

from hillmux.net.config import parse
from hillmux.net.forward_request import Client, ForwardRequest
from hillmux.net.streaming_client import StreamingListener


class FakeRequestHandler:
    """A request handler that records requests and leaves them open until `answer_all`, with its listener.

    Clients are blocking sockets in the same thread: what they send has arrived when `sendall` returns, and
    stays unread until the event loop runs.
    """

    def __init__(self, sockets: int = 1024) -> None:
        self.settings = parse(
            {
                "listen": f"{LOOP}:0",
                "discovery": f"{LOOP}:1",
                "seed": "1",
                "known": {"generation": 1, "reset": True, "instances": [instance("s-0", 1)]},
                "settings": {"grades": GRADES, "packages": PACKAGES},
            }
        ).settings
        self.draining = False
        self.open_requests: dict[str, tuple[Client, ForwardRequest]] = {}
        self.disconnected_ids: list[str] = []
        self.request_ids: list[bytes] = []
        self.listener = StreamingListener(self, asyncio.get_running_loop(), sockets)
        ((_, self.port),) = self.listener.start((LOOP, 0))

    def request(self, client: Client, forward_request: ForwardRequest) -> str | None:
        rid = f"r{len(self.request_ids)}"
        self.request_ids.append(forward_request.client_request_id)
        self.open_requests[rid] = client, forward_request
        return rid

    def client_disconnected(self, rid: str) -> None:
        self.disconnected_ids.append(rid)

    def abort_request(self, rid: str, status: int) -> None:
        raise AssertionError("no body is streamed here")

    def ready(self) -> bool:
        return True

    def connect(self) -> socket.socket:
        """Connect a client; the connection waits in the backlog until the event loop runs."""
        sock = socket.create_connection((LOOP, self.port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    async def wait_for_requests(self, count: int) -> None:
        """Wait until at least `count` requests in total have been received."""
        while len(self.request_ids) < count:
            await asyncio.sleep(0)

    def answer_all(self) -> None:
        """Answer all open requests with status 200 and their request id as the body."""
        answered, self.open_requests = (
            self.open_requests,
            {},
        )  # an answer may open its connection's next request
        for client, forward_request in answered.values():
            client.answer(200, forward_request.client_request_id)


async def read_responses(sock: socket.socket, count: int = 1) -> list[bytes]:
    """Read the bodies of `count` responses of status 200, or of fewer if the connection is closed before."""
    sock.setblocking(False)
    loop, data = asyncio.get_running_loop(), b""
    bodies: list[bytes] = []
    while len(bodies) < count:
        head, found, rest = data.partition(b"\r\n\r\n")
        if found:
            size = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            if len(rest) >= size:
                assert head.startswith(b"HTTP/1.1 200 "), head
                bodies.append(rest[:size])
                data = rest[size:]
                continue
        more = await loop.sock_recv(sock, 65536)  # a reset raises here
        if not more:
            assert not data, "an answer was cut short"
            break
        data += more
    return bodies


async def closes_in_order(sock: socket.socket) -> bool:
    """Whether the server closes a connection in order, without further data; a reset raises."""
    sock.setblocking(False)
    return await asyncio.get_running_loop().sock_recv(sock, 65536) == b""
