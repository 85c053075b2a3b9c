"""Bad clients stop in the middle of a body of 63 KB and stay: the gateway has to keep to its memory limit."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import MEMORY_MB, ROOT, CannotRun, Fleet, main, read_answer, request_head

HOSTS = 4
WORK_MS = 200
CLIENTS = 8
BAD_CLIENTS = int(os.environ.get("BAD_CLIENTS", "200"))  # "others connect by hundreds"
BODY_BYTES = 63_000  # "Bodies hold at most 64 KiB"
CHUNK_BYTES = int(os.environ.get("CHUNK_BYTES", "2"))
BEFORE_S, BAD_S, AFTER_S = 2, 8, 2


def resident_mb(pid):
    """The memory that a process holds, as the system counts it; 0 once it has ended."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


class Platform:
    """Watches the gateway's memory, and kills it when it holds more than its configuration allows."""

    def __init__(self, fleet):
        self.fleet, self.most_mb, self.killed_at_mb = fleet, 0.0, 0.0

    async def watch(self):
        """Look every 20 ms."""
        process = self.fleet.gateway.process
        while process.returncode is None:
            now_mb = resident_mb(process.pid)
            if now_mb > self.most_mb + 10:
                self.fleet.record.write(f"platform: the gateway holds {now_mb:.0f} MB")
                self.most_mb = now_mb
            if now_mb > MEMORY_MB:
                self.killed_at_mb = now_mb
                self.fleet.record.write(f"platform: over {MEMORY_MB} MB, killed")
                process.kill()
                return
            await asyncio.sleep(0.02)


async def usual_client(fleet, name, end, counts):
    """Send bookings one after another on a kept connection."""
    serial = 0
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", fleet.gateway.port)
            answer = (0, b"")
            while time.monotonic() < end and answer is not None:
                writer.write(request_head(f"{name}-{serial}", "slot-booking", 3000))
                fleet.record.write(f"client {name}: {name}-{serial} sent, waits 3000 ms")
                answer = await asyncio.wait_for(read_answer(reader), 10)
                fleet.record.write(f"client {name}: {name}-{serial} got {answer and answer[0]}")
                counts[answer and answer[0]] = counts.get(answer and answer[0], 0) + 1
                serial += 1
                await asyncio.sleep(0.1)
            writer.close()
        except (OSError, TimeoutError) as error:
            fleet.record.write(f"client {name}: {error!r}")
            await asyncio.sleep(0.5)


async def bad_clients(fleet):
    """Run the bad clients, and record how their connections ended."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROOT / "review" / "bad_crowd.py"),
        *map(str, (fleet.gateway.port, BAD_CLIENTS, BODY_BYTES, CHUNK_BYTES, BAD_S)),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        while line := await process.stdout.readline():
            entry = json.loads(line)
            fleet.record.write(f"bad client: sent {entry['sent']} bytes, {entry['outcome']}", entry["at"])
        await process.wait()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def case(record, trouble):
    """Return what broke the rule."""
    counts = {}
    async with Fleet(record, HOSTS, WORK_MS) as fleet:
        platform = Platform(fleet)
        watching = asyncio.create_task(platform.watch())
        end = time.monotonic() + BEFORE_S + BAD_S + AFTER_S
        usual = asyncio.gather(*(usual_client(fleet, f"c{i}", end, counts) for i in range(CLIENTS)))
        await asyncio.sleep(BEFORE_S)
        if not counts.get(200):
            raise CannotRun("nothing was served")
        if trouble:
            record.write(f"{BAD_CLIENTS} bad clients begin, chunks of {CHUNK_BYTES} bytes")
            await bad_clients(fleet)
            record.write("the bad clients have ended")
        await usual
        record.write(f"usual clients got {counts}")
        ended = not fleet.gateway.alive() and not platform.killed_at_mb
        watching.cancel()
    if platform.killed_at_mb:
        return [f"the gateway held {platform.killed_at_mb:.0f} MB, {MEMORY_MB} MB are allowed: it is killed"]
    return ["the gateway's process has ended"] if ended else []


main(case)
