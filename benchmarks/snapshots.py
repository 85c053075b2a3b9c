"""Snapshots: what one costs the loop and the disk, by three stores; a herd that comes back with and without.

    python benchmarks/snapshots.py [--rounds 15] [--pairs 3] [--only cost|herd]

The stores hold the same documents: one file in place of the last (what is built), SQLite, LMDB. The herd is
that of examples/lab/herd.toml, real processes, started from an empty disk and from the kept one in turn.
"""

from __future__ import annotations

import argparse
import random
import sqlite3
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import lmdb
import orjson

from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.hot_restart.state_codec import export
from hillmux.lab import record
from hillmux.lab.run import play
from hillmux.lab.scenario import load
from hillmux.recovery.snapshot_format import Identity, SnapshotBuilder, SnapshotHeader
from hillmux.recovery.snapshot_store import StateDirectory

ROOT = Path(__file__).resolve().parents[1]

HEAD = SnapshotHeader(Identity("g1", "bench", "p", "f"), "i", 1, 1e12, False)
MAP_BYTES = 1 << 30


def module(hosts: int, customers: int) -> Gateway:
    """A module that knows so many."""
    settings = api.Settings(
        classes=(api.RequestClass("read", 1000, 4000),),
        plans=(api.Plan("p", rate=5, burst=10, ceiling_rate=10, ceiling_burst=20),),
        max_customers=customers, counter_available=False, fleet_size=4)  # fmt: skip
    gateway, draw = Gateway(settings, 1), random.Random(1)
    gateway.handle(
        1e12,
        api.EndpointList(api.ListKind.CACHED, tuple(api.Endpoint(f"h{i}", "a", 0) for i in range(hosts))),
    )
    for i in range(customers):
        for act in gateway.handle(1e12 + i, api.Request(f"r{i}", "read", "p", f"c{i}", 4000, 1, 4, 0)):
            if isinstance(act, api.SendAttempt):
                gateway.handle(
                    1e12 + i,
                    api.AttemptEnded(
                        f"r{i}", 0, act.host, api.AttemptResult.OK, 20 + 40 * draw.random(), True
                    ),
                )
    return gateway


def plain(folder: Path) -> Callable[[bytes, list[bytes]], None]:
    """What is built."""
    mine = StateDirectory(folder)
    mine.lock()
    return lambda data, lines: mine.write(data)


def sqlite(folder: Path) -> Callable[[bytes, list[bytes]], None]:
    """A row for each document, in one transaction; a write-ahead log, synced at each commit."""
    db = sqlite3.connect(folder / "db")
    db.executescript(
        "PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL; CREATE TABLE d (n INTEGER PRIMARY KEY, b)"
    )

    def write(data: bytes, lines: list[bytes]) -> None:
        with db:
            db.execute("DELETE FROM d")
            db.executemany("INSERT INTO d VALUES (?, ?)", enumerate(lines))

    return write


def mapped(folder: Path) -> Callable[[bytes, list[bytes]], None]:
    """A value for each document, in one transaction, synced."""
    env = lmdb.open(str(folder), map_size=MAP_BYTES)

    def write(data: bytes, lines: list[bytes]) -> None:
        with env.begin(write=True) as transaction:
            for number, line in enumerate(lines):
                transaction.put(b"%08d" % number, line)

    return write


def ms(call: Callable[..., Any], *args: Any) -> float:
    """How long a call takes, in ms."""
    began = time.perf_counter()
    call(*args)
    return 1000 * (time.perf_counter() - began)


def cost(rounds: int) -> None:
    """The loop's part by document, and each store's part."""
    for hosts, customers in ((200, 2_000), (1_000, 20_000), (1_000, 200_000)):
        gateway = module(hosts, customers)
        turns: list[float] = []
        for _ in range(rounds):
            builder, known = SnapshotBuilder(), iter(export(gateway))
            while True:
                began = time.perf_counter()
                document = next(known, None)
                if document is None:
                    break
                builder.add(document)
                turns.append(1000 * (time.perf_counter() - began))
        data = builder.encode(HEAD)
        lines = data.splitlines(keepends=True)
        high = sorted(turns)[-1 - len(turns) // 100]
        print(f"{hosts} hosts, {customers} customers: {len(data) / 1e6:.2f} MB, {len(lines) - 1} documents, "
              f"{builder.omitted_documents} left out; the loop: {sum(turns) / rounds:.1f} ms in all, a turn "
              f"{statistics.median(turns):.2f} ms, p99 {high:.2f}")  # fmt: skip
        took: dict[str, list[float]] = {"file": [], "sqlite": [], "lmdb": []}
        with tempfile.TemporaryDirectory(dir=ROOT) as name:
            stores = {}
            for kind, make in (("file", plain), ("sqlite", sqlite), ("lmdb", mapped)):
                (Path(name) / kind).mkdir()
                stores[kind] = make(Path(name) / kind)
            for _ in range(rounds):  # in turn
                for kind, write in stores.items():
                    took[kind].append(ms(write, data, lines))
        usual = statistics.median(took["file"])
        for kind, times in took.items():
            middle = statistics.median(times)
            print(
                f"  {kind}: {middle:.1f} ms ({min(times):.1f} to {max(times):.1f}), "
                f"{middle / usual:.2f} of the file's"
            )


def herd(pairs: int) -> None:
    """The same day, its gateways started from an empty disk and from the kept one, in turn."""
    day = load(ROOT / "examples/lab/herd.toml").model_dump()
    for seed in range(1, pairs + 1):
        for how in ("", "kept"):
            faults = [{**f, "how": how} if f["what"] == "start" else f for f in day["faults"]]
            scenario = type(load(ROOT / "examples/lab/herd.toml")).model_validate(
                {**day, "seed": seed, "faults": faults, "fleet": {**day["fleet"], "snapshots_ms": 1000}}
            )
            with tempfile.TemporaryDirectory() as name:
                result = play(scenario, Path(name) / "run")
                figures = result.figures
                events = list(record.read(result.folder))
                own = [e["t"] for e in events if e["ev"] == "phase" and e["text"].startswith("full")]
                share = [w.served_share() for w in figures.windows]
                print(orjson.dumps({
                    "seed": seed, "disk": how or "empty", "full_s": figures.full_service_s,
                    "after_ready_s": figures.full_after_ready_s,
                    "shares_9_to_14_s": [round(s, 3) for s in share[9:14]],
                    "before": round(statistics.mean(share[3:9]), 3),
                    "counter_s": figures.most_counter_s, "dials_s": figures.most_dials_s,
                    "fell": figures.fell, "gateways_full": len(own),
                    "rules": {v.rule: v.status() for v in result.verdicts},
                    "late_p99_ms": round(result.late_ms[1], 1)}).decode(), flush=True)  # fmt: skip


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--rounds", type=int, default=15)
    parser.add_argument("--pairs", type=int, default=3)
    parser.add_argument("--only", choices=("cost", "herd"))
    args = parser.parse_args()
    if args.only != "herd":
        cost(args.rounds)
    if args.only != "cost":
        herd(args.pairs)
    return 0


if __name__ == "__main__":
    sys.exit(main())
