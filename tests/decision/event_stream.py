"""Seeded streams of simulator messages, played against the simulator's adapter in a closed loop.

The stream draws settings, hosts, clients and faults from its seed and answers each action that the adapter
writes: an attempt ends, a timer fires, the counter replies, an endpoint list arrives. It uses only the lines
of the simulator's protocol, so all versions of the gateway with the same decisions get the same stream.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

INSTANCE = "g1"
CHECKPOINT_EVENTS = 1000
BATCH_MS = 1.0
STALL_MS = 900.0
CLASSES = (
    ("read", 900.0, 2000.0, 3.0, 0.0, "safe", "all", 0.0, 0),
    ("book", 1500.0, 3000.0, 2.0, 0.5, "keyed", "zone", 2500.0, 0),
    ("change", 1200.0, 2500.0, 2.0, 0.0, "keyed", "cell", 1500.0, 0),
    ("pay", 1500.0, 3000.0, 4.0, 0.0, "unsafe", "all", 0.0, 0),
    ("feed", 2500.0, 6000.0, 1.0, 0.2, "safe", "all", 0.0, 1),
)
PACKAGES = (
    ("small", 20.0, 40.0, 1.0, 0.0, 0.5, 0.0, 0.0, 0),
    ("large", 400.0, 800.0, 2.0, 0.9, 0.1, 500.0, 300.0, 0),
    ("capped", 90.0, 180.0, 1.5, 0.0, 0.0, 60.0, 60.0, 6),
    ("free", 0.0, 0.0, 1.0, 0.0, 0.0, 0.0, 0.0, 0),
)
FAILURES = ("Failed", "QueueFull", "TimedOut", "ConnectError", "ResetByPeer", "Ignored")


@dataclass(slots=True)
class SimulatedHost:
    """A simulated host: its entry in the endpoint list, and how it answers."""

    name: str
    zone: str
    cell: int
    capacity: float
    status: str = "up"
    started_at_ms: float = 0.0
    slowdown: float = 1.0
    failure_rate: float = 0.0

    def line(self) -> str:
        """Return the host's entry in an endpoint list."""
        return (
            f"M {self.name} {self.zone} 0 {self.cell} {self.status} {self.capacity:g} {self.started_at_ms:g}"
        )


@dataclass(slots=True)
class OpenRequest:
    """A request sent to the gateway: its class, its units and its open attempts."""

    class_index: int
    units: float
    answered: bool = False
    next_attempt: int = 0
    open_attempts: dict[int, str] = field(default_factory=dict)


@dataclass(slots=True)
class Recording:
    """Result of a stream: counts of messages and actions by name, a digest after each thousand events."""

    events: Counter[str] = field(default_factory=Counter)
    actions: Counter[str] = field(default_factory=Counter)
    checkpoints: list[str] = field(default_factory=list)
    digest: str = ""


class EventStream:
    """One seeded stream, played until it has sent `events` messages."""

    def __init__(
        self,
        seed: int,
        events: int,
        batch: Callable[[float, list[str]], list[str]],
        inject: Callable[[float, str, random.Random], list[str]],
    ) -> None:
        """Create a stream.

        Args:
            seed: of all random draws.
            events: number of messages after which the stream ends.
            batch: plays the lines of a batch at a time in ms, and returns the reply.
            inject: the same for an event, by name, that has no line in the protocol.
        """
        self.rng = random.Random(seed)
        self.limit = events
        self.batch = batch
        self.inject = inject
        self.now_ms = 1000.0
        self.queue: list[tuple[float, int, list[str]]] = []
        self.order = 0
        self.requests: dict[str, OpenRequest] = {}
        self.totals: Counter[str] = Counter()
        self.request_number = 0
        self.catalog = 0
        self.generation = 0
        self.counter_mode = self.rng.choice(("well", "slow", "lossy"))
        self.fleet_size = self.rng.choice((1, 3, 20, 200))
        self.rate_ms = self.rng.choice((1.5, 4.0, 15.0))
        self.hosts = [self._new_host(i, 0.0) for i in range(self.rng.choice((3, 12, 60)))]
        self.host_number = len(self.hosts)
        self.recording = Recording()
        self.hash = hashlib.sha256()
        self.sent = 0

    def play(self) -> Recording:
        """Play the stream to its end."""
        self._schedule(0.0, self._open_line())
        self._schedule(0.1, self._list_lines("Complete", self.hosts))
        self._schedule(1.0, ["NEXT_REQUEST"])
        self._schedule(200.0, ["NEXT_FAULT"])
        while self.sent < self.limit:
            self._step()
        self.recording.digest = self.hash.hexdigest()
        return self.recording

    # Messages that the stream sends by itself

    def _step(self) -> None:
        """Play one batch: all messages that are due within a millisecond of the next one."""
        due_ms = max(self.queue[0][0], self.now_ms)
        self.now_ms = due_ms
        lines: list[str] = []
        while self.queue and self.queue[0][0] <= due_ms + BATCH_MS:
            message = heapq.heappop(self.queue)[2]
            if message[0] == "NEXT_REQUEST":
                lines += self._next_request()
            elif message[0] == "NEXT_FAULT":
                lines += self._next_fault()
            elif message[0] == "INJECT":
                self._process_reply(self.inject(self.now_ms, message[1], self.rng), f"INJECT-{message[1]}")
            elif self._close_attempt(message):
                lines += message
        for line in lines:
            name = line.split(" ", 1)[0]
            if name not in ("M", "CATALOG"):
                self.recording.events[name] += 1
        if lines:
            self._process_reply(self.batch(self.now_ms, lines), "")

    def _process_reply(self, reply: list[str], injected: str) -> None:
        """Hash the actions of a reply, and answer each; `injected`: name of the injected event, if any."""
        if injected:
            self.recording.events[injected] += 1
        for line in reply:
            self.hash.update(line.encode() + b"\n")
            parts = line.split(" ")
            if len(parts) > 1:
                self.recording.actions[parts[0]] += 1
                self._answer(parts)
        self.sent = sum(self.recording.events.values())
        while len(self.recording.checkpoints) < self.sent // CHECKPOINT_EVENTS:
            self.recording.checkpoints.append(self.hash.hexdigest()[:16])

    def _schedule(self, in_ms: float, lines: list[str]) -> None:
        self.order += 1
        heapq.heappush(self.queue, (self.now_ms + in_ms, self.order, lines))

    def _close_attempt(self, message: list[str]) -> bool:
        """Close the attempt that an ENDED message is about; return False if it is not open."""
        parts = message[0].split(" ")
        if parts[0] == "ENDED":
            request = self.requests.get(parts[2])
            if request is None or request.open_attempts.pop(int(parts[3]), None) is None:
                return False
            request.answered = request.answered or parts[5] == "Ok"
            if request.answered and not request.open_attempts:
                del self.requests[parts[2]]
        return True

    def _next_request(self) -> list[str]:
        self._schedule(self.rng.expovariate(1 / self.rate_ms), ["NEXT_REQUEST"])
        self.request_number += 1
        request_id = f"r{self.request_number}"
        class_index = self.rng.choices(range(len(CLASSES)), (6, 2, 1, 1, 1))[0]
        package = self.rng.choices(PACKAGES, (3, 4, 3, 3))[0]
        customer = f"{package[0]}-{int(self.rng.paretovariate(1.1)) % 40}"
        time_left_ms = CLASSES[class_index][2] * self.rng.choice((1.0, 1.0, 1.0, 0.4, 0.02))
        units = self.rng.choice((1.0, 1.0, 2.5, 0.25))
        replicas = min(self.rng.choice((1, 2, 8)), self.fleet_size)
        self.requests[request_id] = OpenRequest(class_index, units)
        flags = 2 if self.rng.random() < 0.1 else 0
        if self.rng.random() < 0.02:
            self._schedule(self.rng.uniform(0, time_left_ms), [f"CLIENT_LEFT {INSTANCE} {request_id}"])
        class_name = "unheard" if self.rng.random() < 0.001 else CLASSES[class_index][0]
        return [
            f"REQ {INSTANCE} {request_id} {class_name} {package[0]} {customer} {time_left_ms:.3f}"
            f" {units:g} {replicas} 0 {flags}"
        ]

    def _next_fault(self) -> list[str]:
        """Inject a fault of hosts, endpoint lists, the counter, the clock or the process."""
        rng = self.rng
        self._schedule(rng.uniform(5.0, 80.0) * self.rate_ms, ["NEXT_FAULT"])
        match rng.randrange(13):
            case 0:
                rng.choice(self.hosts).slowdown = rng.choice((1.0, 3.0, 30.0))
            case 1:
                rng.choice(self.hosts).failure_rate = rng.choice((0.0, 0.2, 1.0))
            case 2:
                for host in self.hosts:
                    host.slowdown, host.failure_rate = 1.0, 0.0
            case 3:
                return self._change_list()
            case 4:
                return self._list_lines(rng.choice(("Complete", "Persisted")), self.hosts)
            case 5:
                return [f"DIRECTORY_UPDATE {INSTANCE} Error 0 0"]
            case 6:
                self.counter_mode = rng.choice(("well", "slow", "lossy", "down"))
            case 7:
                self.now_ms += STALL_MS * rng.choice((1.0, 8.0))
            case 8:
                if rng.random() < 0.2:
                    self.requests.clear()
                    return [
                        f"DETACH {INSTANCE}",
                        *self._open_line(),
                        *self._list_lines("Complete", self.hosts),
                    ]
            case 9:
                self.rate_ms = rng.choice((1.0, 2.0, 5.0, 20.0, 200.0))
            case 10:
                for host in self.hosts:
                    host.slowdown = rng.choice((1.0, 4.0))
            case 11:
                event = rng.choices(("host", "settings", "drain", "taken-over"), (12, 6, 1, 1))[0]
                self._schedule(1.0, ["INJECT", event])
            case 12:
                return [f"INBOX {INSTANCE} 3 0a0b", f"PROBE_DONE {INSTANCE} 2.5 h0 Ok load:0.5"]
        return []

    def _change_list(self) -> list[str]:
        """Change one host: it starts or stops draining, is removed, restarts or is added."""
        host = self.rng.choice(self.hosts)
        match self.rng.randrange(4):
            case 0:
                host.status = "draining" if host.status == "up" else "up"
            case 1 if len(self.hosts) > 2:
                self.hosts.remove(host)
                host.status = "removed"
            case 2:
                host.started_at_ms, host.status = self.now_ms, "up"
            case _:
                self.host_number += 1
                host = self._new_host(self.host_number, self.now_ms)
                self.hosts.append(host)
        return self._list_lines("Partial", [host])

    def _new_host(self, number: int, started_at_ms: float) -> SimulatedHost:
        zone, cell = f"z{number % 3}", number % 5
        return SimulatedHost(
            f"h{number}", zone, cell, self.rng.choice((1.0, 1.0, 2.0)), started_at_ms=started_at_ms
        )

    def _list_lines(self, kind: str, hosts: list[SimulatedHost]) -> list[str]:
        self.catalog += 1
        return [
            f"CATALOG {self.catalog} {len(hosts)}",
            *(host.line() for host in hosts),
            f"DIRECTORY_UPDATE {INSTANCE} {kind} 0 {self.catalog}",
        ]

    def _open_line(self) -> list[str]:
        pairs = {
            "me": self.rng.randrange(self.fleet_size),
            "fleet_size": self.fleet_size,
            "bounds.try_limit": 3,
            "bounds.second_copies": self.rng.choice(("true", "false")),
            "bounds.cancel": self.rng.choice(("true", "false")),
            "bounds.max_retry_after_ms": 4000,
            "membership_mode": self.rng.choice(("pushed", "on_request")),
            "family_info.may_count": self.rng.choice(("true", "true", "true", "false")),
            "family_info.count_wait_ms": 50,
            "family_info.most_units": 2.5,
            "family_info.trued_up": "true",
            "tick_ms": 1,
            "rules.cold_from": 0.2,
            "rules.cold_ms": 4000,
            "rules.fall_multiple": 2,
            "rules.tip_after_ms": 2000,
            "rules.stop_sending_within_ms": 1000,
            "grades.count": len(CLASSES),
            "packages.count": len(PACKAGES),
        }
        keys = "name objective_ms deadline_ms worth late_worth effect key_scope window_ms stream".split()
        for i, row in enumerate(CLASSES):
            pairs.update({f"grades.{i}.{key}": value for key, value in zip(keys, row, strict=True)})
        keys = "name refill burst worth_factor over_worth over_cost ceiling_rate hard_burst parallel".split()
        for i, row in enumerate(PACKAGES):
            pairs.update({f"packages.{i}.{key}": value for key, value in zip(keys, row, strict=True)})
        self.generation += 1
        seed = self.rng.randrange(10**6)
        return [f"OPEN_INSTANCE {INSTANCE} {seed} " + " ".join(f"{k}={v}" for k, v in pairs.items())]

    # Answers to the gateway's actions

    def _answer(self, parts: list[str]) -> None:
        match parts[0]:
            case "DELIVER":
                self._run_attempt(parts[2], float(parts[3]), parts[4])
            case "REFUSE" | "GIVE_UP":
                request = self.requests.get(parts[2])
                if request is not None:
                    request.answered = True
                    if not request.open_attempts:
                        del self.requests[parts[2]]
            case "UNDO_SEND":
                self._end(parts[2], int(parts[3]), "Canceled", 1.0)
            case "AFTER":
                self._schedule(float(parts[2]), [f"TICK_DUE {INSTANCE} {parts[3]}"])
            case "ADD":
                self._count(parts[2], float(parts[3]))
            case "OBSERVE":
                self._schedule(self.rng.uniform(1, 300), self._list_lines("Complete", self.hosts))

    def _run_attempt(self, request_id: str, timeout_ms: float, host_name: str) -> None:
        request = self.requests.setdefault(request_id, OpenRequest(0, 1.0))
        attempt = request.next_attempt
        request.next_attempt += 1
        request.open_attempts[attempt] = host_name
        host = next((h for h in self.hosts if h.name == host_name), None)
        elapsed_ms = self.rng.lognormvariate(3.5, 0.7) * request.units * (host.slowdown if host else 1.0)
        result = "Ok"
        if host is None or host.status != "up":
            result, elapsed_ms = self.rng.choice(("ConnectError", "Ok", "Ignored")), 2.0
        elif self.rng.random() < host.failure_rate + 0.01:
            result = self.rng.choice(FAILURES)
            elapsed_ms *= self.rng.choice((0.01, 1.0))
        if elapsed_ms >= timeout_ms or result == "TimedOut":
            result, elapsed_ms = "TimedOut", timeout_ms
        if CLASSES[request.class_index][8] and result == "Ok":
            self._schedule(elapsed_ms / 2, [f"HEAD_RECEIVED {INSTANCE} {request_id} {attempt} 0 0"])
        self._end(request_id, attempt, result, elapsed_ms, host_name)

    def _end(
        self, request_id: str, attempt: int, result: str, elapsed_ms: float, host_name: str = "-"
    ) -> None:
        request = self.requests.get(request_id)
        if request is None or attempt not in request.open_attempts:
            return
        host_name = request.open_attempts[attempt]
        final = 1 if result == "Ok" else 0
        units = request.units * self.rng.choice((1.0, 1.0, 1.5)) if result == "Ok" else 0
        usage = self.rng.choice(("-", "40.5"))
        self._schedule(
            elapsed_ms,
            [
                f"ENDED {INSTANCE} {request_id} {attempt} {host_name} {result} {elapsed_ms:.3f} {final}"
                f" {usage} {units:g} load:{self.rng.random():.2f}"
            ],
        )

    def _count(self, name: str, amount: float) -> None:
        """Schedule the counter's reply: the total, including what other gateways have added."""
        elapsed_ms = self.rng.uniform(1.0, 8.0)
        result = "Ok"
        match self.counter_mode:
            case "slow":
                elapsed_ms = self.rng.uniform(20.0, 80.0)
            case "lossy" if self.rng.random() < 0.3:
                result = self.rng.choice(("QueueFull", "TimedOut", "ConnectError"))
            case "down":
                result, elapsed_ms = "ConnectError", 1.0
        if result in ("Ok", "TimedOut"):
            self.totals[name] += amount + (self.rng.expovariate(0.5) if self.fleet_size > 1 else 0.0)
        total = f"{self.totals[name]:.6f}" if result == "Ok" else "-"
        self._schedule(elapsed_ms, [f"COUNTER_REPLY {INSTANCE} {total} {result} {elapsed_ms:.3f} {name}"])
