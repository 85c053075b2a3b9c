"""Bad clients that stop in the middle of a booking's body and stay, each on a connection of its own.

Command line: port, number of clients, bytes of body that each sends, bytes in a chunk, seconds until all end.
They read what they are sent, and don't come back. Prints a JSON line for each connection at its end.
"""

import json
import select
import socket
import sys
import time

port, clients, body_bytes, chunk_bytes, seconds = (int(argument) for argument in sys.argv[1:6])
CHUNK = b"%x\r\n%b\r\n" % (chunk_bytes, b"xy" * (chunk_bytes // 2) + b"x" * (chunk_bytes % 2))
BODY = CHUNK * (body_bytes // chunk_bytes)  # without the last chunk
HEAD = (
    "POST /api/00000001{0:08x} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: bad-{0}\r\n"
    "X-Class: slot-booking\r\nPlan: fleet\r\nX-Deadline: 3000m\r\nQuota-Info: units=1,spread=1,first=0\r\n"
    "Idempotency-Key: bad-{0}\r\nTransfer-Encoding: chunked\r\n\r\n"
)
end = time.monotonic() + seconds
unsent, began, lengths = {}, {}, {}


def ended(sock, outcome):
    """Print how a connection ended, and close it."""
    sent = lengths[sock] - len(unsent[sock])
    line = {"at": time.monotonic(), "outcome": outcome, "sent": sent}
    print(json.dumps({**line, "after_s": round(time.monotonic() - began[sock], 2)}), flush=True)
    del unsent[sock], began[sock]
    sock.close()


for number in range(clients):
    try:
        sock = socket.create_connection(("127.0.0.1", port), timeout=5)
    except OSError:
        break
    sock.setblocking(False)
    unsent[sock], began[sock] = memoryview(HEAD.format(number).encode() + BODY), time.monotonic()
    lengths[sock] = len(unsent[sock])
while unsent and time.monotonic() < end:
    readable, writable, _ = select.select(list(unsent), [s for s, rest in unsent.items() if rest], [], 0.1)
    for sock in writable:
        try:
            unsent[sock] = unsent[sock][sock.send(unsent[sock]) :]
        except OSError as error:
            ended(sock, repr(error))
    for sock in readable:
        if sock in unsent:
            try:
                answer = sock.recv(1000)
                ended(sock, answer.split(b"\r\n")[0].decode() if answer else "closed")
            except OSError as error:
                ended(sock, repr(error))
for sock in list(unsent):
    ended(sock, "ended with the test")
