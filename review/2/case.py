"""Bad clients send bodies of 60 MB in small chunks: the usual clients are owed their answers in time."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import ROOT, CannotRun, Fleet, main, read_answer, request_head

HOSTS = 4
WORK_MS = 200  # the brief: 150 to 260 ms
BETWEEN_S = 0.1  # the brief: about 95 requests a second over 2 to 3 api gateways; here 10 for one
TIME_LEFT_MS = 3000  # half of the class's give-up time, the least that the brief has
LATE_S = 0.55  # "up to half a second after its time it only earns nothing", and 50 ms on sockets
BAD_CLIENTS = int(os.environ.get("BAD_CLIENTS", "24"))
CHUNK_BYTES = int(os.environ.get("CHUNK_BYTES", "1"))
BEFORE_S, BAD_S, AFTER_S = 2, 20, 2


async def exchange(fleet, connection, number):
    """Send one booking, and return its answer, or "nothing" once the bound of the rule is over."""
    reader, writer = connection
    writer.write(request_head(number, "slot-booking", TIME_LEFT_MS))
    fleet.record.write(f"client: {number} sent, waits {TIME_LEFT_MS} ms")
    try:
        return await asyncio.wait_for(read_answer(reader), TIME_LEFT_MS / 1000 + LATE_S)
    except TimeoutError:
        return "nothing"


async def book(fleet, number, idle, answers):
    """Send one booking on an idle connection, or on a new one when all are busy, and wait for its answer."""
    while idle and idle[-1][0].at_eof():  # the gateway may close a connection between requests
        idle.pop()[1].close()
    reused = bool(idle)
    connection = idle.pop() if idle else await asyncio.open_connection("127.0.0.1", fleet.gateway.port)
    sent = time.monotonic()
    answer = await exchange(fleet, connection, number)
    if answer is None and reused:  # the close crossed the request: once more on a new connection
        connection[1].close()
        connection = await asyncio.open_connection("127.0.0.1", fleet.gateway.port)
        sent = time.monotonic()
        answer = await exchange(fleet, connection, number)
    took = time.monotonic() - sent
    status = answer[0] if isinstance(answer, tuple) else ("a cut connection" if answer is None else answer)
    fleet.record.write(f"client: {number} got {status} after {took:.3f} s")
    answers[number] = (status, took)
    if isinstance(answer, tuple):
        idle.append(connection)
    else:
        connection[1].close()


async def usual_clients(fleet, end, answers):
    """Send a booking each BETWEEN_S until `end`, whatever has been answered."""
    idle, tasks = [], []
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(book(fleet, f"booking-{len(tasks)}", idle, answers)))
        await asyncio.sleep(BETWEEN_S)
    await asyncio.gather(*tasks)
    for _, writer in idle:
        writer.close()


async def bad_client(fleet, number):
    """Run one bad client as a process of its own, and record what it sent and was told."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROOT / "review" / "bad_client.py"),
        *map(str, (fleet.gateway.port, number, CHUNK_BYTES, BAD_S)),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        while line := await process.stdout.readline():
            entry = json.loads(line)
            text = f"bad client {number}: sent {entry['sent']} bytes, {entry['outcome']}"
            fleet.record.write(text, entry["at"])
        await process.wait()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def case(record, trouble):
    """Return what broke the rule."""
    answers = {}
    async with Fleet(record, HOSTS, WORK_MS) as fleet:
        end = time.monotonic() + BEFORE_S + BAD_S + AFTER_S
        usual = asyncio.create_task(usual_clients(fleet, end, answers))
        await asyncio.sleep(BEFORE_S)
        if trouble:
            record.write(f"{BAD_CLIENTS} bad clients begin, chunks of {CHUNK_BYTES} bytes")
            await asyncio.gather(*(bad_client(fleet, i) for i in range(BAD_CLIENTS)))
            record.write("the bad clients have ended")
        await usual
        if not fleet.gateway.alive():
            return ["the gateway's process has ended"]
    if not any(status == 200 for status, _ in answers.values()):
        raise CannotRun("nothing was served at all")
    record.write(f"{len(answers)} bookings in all")
    return [
        f"{number}: time {TIME_LEFT_MS / 1000:.1f} s, got {status} within {took:.2f} s"
        for number, (status, took) in answers.items()
        if status in ("nothing", "a cut connection")
    ]


main(case)
