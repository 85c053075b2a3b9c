"""Records requests after a hot restart in the simulator's protocol; the other version replays them."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

from compatibility.inputs import FOLLOW_UP_REQUESTS, FOLLOW_UP_SEED

Batch = list[object]  # clock in ms, lines sent, lines of the reply


def record(start_ms: float, batch: Callable[[float, list[str]], list[str]], instance: str) -> list[Batch]:
    """Send requests of several customers, end each attempt, and return all batches."""
    rng = random.Random(FOLLOW_UP_SEED)
    queue: list[tuple[float, int, str]] = []
    order = 0

    def schedule(at_ms: float, line: str) -> None:
        nonlocal order
        order += 1
        heapq.heappush(queue, (at_ms, order, line))

    for number in range(FOLLOW_UP_REQUESTS):
        plan = rng.choice(("small", "large", "capped", "free"))
        customer = f"{plan}-{rng.randrange(12)}"
        class_name = rng.choice(("read", "book", "pay"))
        line = f"REQ {instance} new{number} {class_name} {plan} {customer} 2000 1 1 0 0"
        schedule(start_ms + 7.0 * number, line)
    attempts: dict[str, int] = {}
    transcript: list[Batch] = []
    while queue:
        now_ms, _, line = heapq.heappop(queue)
        reply = batch(now_ms, [line])
        transcript.append([now_ms, [line], reply])
        for parts in (action.split(" ") for action in reply):
            match parts[0]:
                case "DELIVER":
                    attempt = attempts.get(parts[2], 0)
                    attempts[parts[2]] = attempt + 1
                    elapsed_ms = rng.uniform(20.0, 60.0)
                    result = rng.choices(("Ok", "QueueFull", "ResetByPeer"), (18, 1, 1))[0]
                    final = int(result == "Ok")
                    schedule(
                        now_ms + elapsed_ms,
                        f"ENDED {instance} {parts[2]} {attempt} {parts[4]} {result} {elapsed_ms:.3f}"
                        f" {final} - {final} load:0.30",
                    )
                case "ADD":
                    schedule(now_ms + 2.0, f"COUNTER_REPLY {instance} 2.000 Ok {number}.5 {parts[2]}")
                case "AFTER" if now_ms < start_ms + 7.0 * FOLLOW_UP_REQUESTS:
                    schedule(now_ms + float(parts[2]), f"TICK_DUE {instance} {parts[3]}")
    return transcript
