"""Long bookings while one of four hosts hangs: each that was written whole is owed an answer in its time."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import CannotRun, Fleet, main, read_answer, request_head

HOSTS = 4
WORK_MS = 200  # the brief: 150 to 260 ms
SEGMENT = 1448  # the hosts' largest segment, as on an Ethernet; the loopback's own would be 65,483
LONG_BYTES = 1_000_000
LONG_REQUESTS = 12
TIME_LEFT_MS = 3000  # half of the class's give-up time, the least that the brief has
LATE_S = 0.55  # "up to half a second after its time it only earns nothing", and 50 ms on sockets
HANG_S = 8.0


async def book(fleet, number, size, answers):
    """Send one booking on a connection of its own; note when its last byte was written and what came back."""
    reader, writer = await asyncio.open_connection("127.0.0.1", fleet.gateway.port)
    writer.transport.set_write_buffer_limits(high=0)
    writer.write(request_head(number, "slot-booking", TIME_LEFT_MS, size) + b"x" * size)
    try:
        await asyncio.wait_for(writer.drain(), HANG_S)  # until the system has taken the last byte
    except TimeoutError:
        fleet.record.write(f"client {number}: its last byte could not be written; not judged")
        writer.close()
        return
    written = time.monotonic()
    fleet.record.write(f"client {number}: {size} bytes, the last one written; waits {TIME_LEFT_MS} ms")
    try:
        answer = await asyncio.wait_for(read_answer(reader), HANG_S + 6)
    except TimeoutError:
        answer = "nothing"
    took = time.monotonic() - written
    status = answer[0] if isinstance(answer, tuple) else ("a cut connection" if answer is None else answer)
    fleet.record.write(f"client {number}: got {status} after {took:.3f} s")
    answers[number] = (status, took)
    writer.close()


async def case(record, trouble):
    """Return what broke the rule."""
    answers = {}
    async with Fleet(record, HOSTS, WORK_MS, SEGMENT) as fleet:
        await asyncio.gather(*(book(fleet, f"short-{i}", 200, answers) for i in range(8)))
        if trouble:
            fleet.hosts[0].signal(signal.SIGSTOP)
            record.write("host-0 hangs from now on")
        long = asyncio.gather(*(book(fleet, f"long-{i}", LONG_BYTES, answers) for i in range(LONG_REQUESTS)))
        await asyncio.sleep(HANG_S)
        if trouble:
            fleet.hosts[0].signal(signal.SIGCONT)
            record.write("host-0 goes on")
        await long
        if not fleet.gateway.alive():
            raise CannotRun("the gateway ended")
    if len(answers) < LONG_REQUESTS // 2:
        raise CannotRun("too few requests could be written whole")
    return [
        f"{number}: written whole, time {TIME_LEFT_MS / 1000:.1f} s, got {status} after {took:.2f} s"
        for number, (status, took) in answers.items()
        if status in ("nothing", "a cut connection") or took > TIME_LEFT_MS / 1000 + LATE_S
    ]


main(case)
