"""A bad client: bookings with a body of 60 MB, at full speed, the same again as soon as it is turned away.

Command line: port, number of this client, bytes in a chunk, seconds after which it ends by itself. It reads
what it is sent, and prints a JSON line for each end of a connection.
"""

import json
import select
import socket
import sys
import time

port, number, chunk_bytes, seconds = (int(argument) for argument in sys.argv[1:5])
BODY_BYTES = 60_000_000
CHUNK = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
BLOCK = CHUNK * (256 * 1024 // len(CHUNK))
HEAD = (
    "POST /api/00000001{0:04x}{1:04x} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: bad-{0}-{1}\r\n"
    "X-Class: slot-booking\r\nPlan: fleet\r\nX-Deadline: 3000m\r\nQuota-Info: units=1,spread=1,first=0\r\n"
    "Idempotency-Key: bad-{0}-{1}\r\nTransfer-Encoding: chunked\r\n\r\n"
)
end = time.monotonic() + seconds
tries = 0
while time.monotonic() < end:
    tries += 1
    began, sent, unsent, outcome = (
        time.monotonic(),
        0,
        HEAD.format(number, tries).encode(),
        "ended with the test",
    )
    try:
        sock = socket.create_connection(("127.0.0.1", port), timeout=5)
    except OSError as error:
        line = {"at": time.monotonic(), "client": number, "outcome": repr(error), "sent": 0}
        print(json.dumps(line), flush=True)
        time.sleep(0.1)
        continue
    with sock:
        sock.setblocking(False)
        while time.monotonic() < end and sent < BODY_BYTES // chunk_bytes * len(CHUNK):
            readable, writable, _ = select.select([sock], [sock], [], 0.2)
            try:
                if readable:
                    answer = sock.recv(1000)
                    outcome = answer.split(b"\r\n")[0].decode() if answer else "closed"
                    break
                if writable:
                    count = sock.send(unsent)
                    sent += count
                    unsent = unsent[count:] or BLOCK
            except OSError as error:
                outcome = repr(error)
                break
    line = {"at": time.monotonic(), "client": number, "outcome": outcome, "sent": sent}
    print(json.dumps({**line, "after_s": round(time.monotonic() - began, 2)}), flush=True)
