"""One answer in ten has a length that does not fit: nobody may be served another than a host made."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import CannotRun, Fleet, answer_to, main, read_answer, request_head

HOSTS = 4
WORK_MS = 250
CLIENTS = 6
REQUESTS = 10  # of each client


async def client(fleet, name, trouble, answers):
    """Send requests one after another on a kept connection, lookups and bookings in turn."""
    reader, writer = await asyncio.open_connection("127.0.0.1", fleet.gateway.port)
    for i in range(REQUESTS):
        number = f"{'spoilt' if trouble and i == 5 else 'good'}-{name}-{i}"
        writer.write(request_head(number, "slot-lookup" if i % 2 else "slot-booking", 6000))
        answer = await asyncio.wait_for(read_answer(reader), 8)
        fleet.record.write(f"client {name}: {number} got {answer}")
        if answer is None:
            writer.close()
            reader, writer = await asyncio.open_connection("127.0.0.1", fleet.gateway.port)
        else:
            answers[number] = answer
    writer.close()


async def case(record, trouble):
    """Return what broke the rule."""
    answers = {}
    async with Fleet(record, HOSTS, WORK_MS, 0, "short" if trouble else "sound") as fleet:
        await asyncio.gather(*(client(fleet, f"c{i}", trouble, answers) for i in range(CLIENTS)))
        if not fleet.gateway.alive():
            raise CannotRun("the gateway ended")
    if sum(status == 200 for status, _ in answers.values()) < CLIENTS * REQUESTS // 2:
        raise CannotRun("too few requests were served")
    return [
        f"{number}: served 200 with {body!r}, while its host made {answer_to(number)!r}"
        for number, (status, body) in answers.items()
        if status == 200 and body != answer_to(number)
    ]


main(case)
