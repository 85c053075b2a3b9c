"""Shared helpers: small settings and a hand-driven gateway."""

from __future__ import annotations

import dataclasses

from yewstage import interface as api
from yewstage.policy import Gateway

SAFE = api.RequestClass("read", aim_ms=1000, deadline_ms=4000, worth=3)
KEYED = api.RequestClass("put", aim_ms=1000, deadline_ms=4000, worth=5, effect="keyed", key_scope="zone",
                         window_ms=3000)
UNSAFE = api.RequestClass("pay", aim_ms=1000, deadline_ms=4000, worth=5, effect="unsafe")
PLAN = api.Plan("basic", rate=2, burst=6)
CAPPED = api.Plan("capped", rate=5, burst=10, worth=1.4, over_worth=0.2, ceiling_rate=10, ceiling_burst=20,
                  ceiling_slack=2)
OPEN = api.Plan("open")


def settings(**changes: object) -> api.Settings:
    base = api.Settings(
        classes=(SAFE, KEYED, UNSAFE), plans=(PLAN, CAPPED, OPEN), fleet_size=3, zone="a", try_limit=4,
        cancel=True, retry_after=True, max_retry_after_ms=2000, may_count=True, tick_ms=2,
        drain_grace_ms=500, cold_from=0.2, cold_ms=10000, fall_multiple=3, tip_after_ms=2000)
    return dataclasses.replace(base, **changes)


class Driver:
    """A gateway with its clock, its open attempts and a counter of request ids."""

    def __init__(self, servers: int = 4, seed: int = 1, now: float = 1e6, **changes: object) -> None:
        self.gateway = Gateway(settings(**changes), seed)
        self.now = now
        self.serial = 0
        self.totals: dict[str, float] = {}  # the shared counter, and how many calls it has answered
        self.answered = 0
        self.log: list[tuple[float, api.Action]] = []
        self.give(api.ServerList("kept", tuple(server(i) for i in range(servers))))

    def give(self, event: api.Event, after: float = 0.0) -> list[api.Action]:
        self.now += after
        out = self.gateway.handle(self.now, event)
        self.log += [(self.now, act) for act in out]
        return out

    def ask(self, cls: str = "read", plan: str = "open", customer: str = "c", left: float = 4000,
            units: float = 1, after: float = 0.0, width: int = 3) -> tuple[str, list[api.Action]]:
        self.serial += 1
        rid = f"r{self.serial}"
        return rid, self.give(api.Request(rid, cls, plan, customer, left, units, width, 0), after)

    def end(self, rid: str, result: str = api.OK, took: float = 50, attempt: int | None = None,
            true_units: float = 0.0, after: float = 0.0) -> list[api.Action]:
        sends = [a for _, a in self.log if isinstance(a, api.Send) and a.request == rid]
        n = len(sends) - 1 if attempt is None else attempt
        return self.give(api.Outcome(rid, n, sends[n].server, result, took, result == api.OK,
                                     true_units=true_units), after)

    def sweep(self, times: int = 1, every: float = 100) -> None:
        for _ in range(times):
            self.give(api.TimerDue("sweep"), every)


def server(i: int, **changes: object) -> api.Server:
    return dataclasses.replace(api.Server(f"h{i}", "ab"[i % 2], i % 2), **changes)


def of(out: list[api.Action], kind: type) -> list:
    return [a for a in out if isinstance(a, kind)]
