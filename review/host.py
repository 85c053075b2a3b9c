"""A booking node as a process of its own: serves requests one at a time on each connection.

Prints its port, then a JSON line for each request that it begins and each answer. Lines on standard input
change it: `work_ms N` is how long a request takes from now on.
"""

import asyncio
import contextlib
import json
import socket
import sys
import time

from standins import answer_to, read_body, read_head

# Command line: work in ms, the largest segment in bytes (0: that of the loopback), and a style:
# `sound`, or `short`: the first answer to an id that begins with `spoilt` has a length that doesn't fit.
work_s = float(sys.argv[1]) / 1000 if len(sys.argv) > 1 else 0.3
maximum_segment = int(sys.argv[2]) if len(sys.argv) > 2 else 0
style = sys.argv[3] if len(sys.argv) > 3 else "sound"


def note(what, request_id, text=""):
    """Write a line of the record."""
    print(json.dumps({"at": time.monotonic(), "what": what, "id": request_id, "note": text}), flush=True)


async def serve(reader, writer):
    """Serve the requests of one connection."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while (head := await read_head(reader)) is not None:
            first, headers = head
            request_id = headers.get("x-request-id", "")
            body = await read_body(reader, headers)
            if not request_id:
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                continue
            note("began", request_id, f"{len(body)} bytes, X-Deadline {headers.get('x-deadline', '-')}")
            await asyncio.sleep(work_s)
            answer = answer_to(request_id)
            length = len(answer)
            if style == "short" and request_id.startswith("spoilt"):
                length -= 4  # the answer ends with `price 120.50`: this length ends it with `price 12`
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (length, answer))
            await writer.drain()
            note("answered", request_id, f"200 with {len(answer)} bytes, Content-Length {length}")
    with contextlib.suppress(ConnectionError):
        writer.close()


async def commands():
    """Follow the lines on standard input; its end ends the process."""
    global work_s  # noqa: PLW0603
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        name, _, value = line.decode().strip().partition(" ")
        if name == "work_ms":
            work_s = float(value) / 1000


async def main():
    """Listen, then serve until standard input ends."""
    sock = socket.socket()
    if maximum_segment:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, maximum_segment)
    sock.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve, sock=sock)
    print(sock.getsockname()[1], flush=True)
    async with server:
        await commands()


asyncio.run(main())
