"""Snapshots: what one costs the loop and the disk, by three stores; a herd that comes back with and without.

    python benchmarks/snapshots.py [--rounds 15] [--pairs 3] [--only cost|herd]

The stores hold the same documents: a file that replaces the previous one (the implemented store), SQLite and
LMDB. The herd is that of examples/lab/herd.toml with real processes, alternately started from an empty disk
and from the kept one.
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

HEADER = SnapshotHeader(Identity("g1", "bench", "p", "f"), "i", 1, 1e12, False)
MAP_BYTES = 1 << 30


def make_gateway(hosts: int, customers: int) -> Gateway:
    """A decision module that knows this many hosts and customers."""
    settings = api.Settings(
        classes=(api.RequestClass("read", 1000, 4000),),
        plans=(api.Plan("p", rate=5, burst=10, ceiling_rate=10, ceiling_burst=20),),
        max_customers=customers, counter_available=False, fleet_size=4)  # fmt: skip
    gateway, rng = Gateway(settings, 1), random.Random(1)
    gateway.handle(
        1e12,
        api.EndpointList(api.ListKind.CACHED, tuple(api.Endpoint(f"h{i}", "a", 0) for i in range(hosts))),
    )
    for i in range(customers):
        for action in gateway.handle(1e12 + i, api.Request(f"r{i}", "read", "p", f"c{i}", 4000, 1, 4, 0)):
            if isinstance(action, api.SendAttempt):
                gateway.handle(
                    1e12 + i,
                    api.AttemptEnded(
                        f"r{i}", 0, action.host, api.AttemptResult.OK, 20 + 40 * rng.random(), True
                    ),
                )
    return gateway


def file_store(folder: Path) -> Callable[[bytes, list[bytes]], None]:
    """The implemented store: a file that is replaced atomically."""
    directory = StateDirectory(folder)
    directory.lock()
    return lambda data, lines: directory.write(data)


def sqlite_store(folder: Path) -> Callable[[bytes, list[bytes]], None]:
    """SQLite with one row per document in one transaction; the write-ahead log is synced at each commit."""
    db = sqlite3.connect(folder / "db")
    db.executescript(
        "PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL; CREATE TABLE d (n INTEGER PRIMARY KEY, b)"
    )

    def write(data: bytes, lines: list[bytes]) -> None:
        with db:
            db.execute("DELETE FROM d")
            db.executemany("INSERT INTO d VALUES (?, ?)", enumerate(lines))

    return write


def lmdb_store(folder: Path) -> Callable[[bytes, list[bytes]], None]:
    """LMDB with one value per document in one synced transaction."""
    env = lmdb.open(str(folder), map_size=MAP_BYTES)

    def write(data: bytes, lines: list[bytes]) -> None:
        with env.begin(write=True) as transaction:
            for number, line in enumerate(lines):
                transaction.put(b"%08d" % number, line)

    return write


def elapsed_ms(call: Callable[..., Any], *args: Any) -> float:
    """Duration of a call in ms."""
    started = time.perf_counter()
    call(*args)
    return 1000 * (time.perf_counter() - started)


def measure_cost(rounds: int) -> None:
    """Print the event loop's time per document, and each store's time per snapshot."""
    for hosts, customers in ((200, 2_000), (1_000, 20_000), (1_000, 200_000)):
        gateway = make_gateway(hosts, customers)
        turn_times_ms: list[float] = []
        for _ in range(rounds):
            builder, documents = SnapshotBuilder(), iter(export(gateway))
            while True:
                started = time.perf_counter()
                document = next(documents, None)
                if document is None:
                    break
                builder.add(document)
                turn_times_ms.append(1000 * (time.perf_counter() - started))
        data = builder.encode(HEADER)
        lines = data.splitlines(keepends=True)
        p99_ms = sorted(turn_times_ms)[-1 - len(turn_times_ms) // 100]
        print(f"{hosts} hosts, {customers} customers: {len(data) / 1e6:.2f} MB, {len(lines) - 1} documents, "
              f"{builder.omitted_documents} left out; the loop: {sum(turn_times_ms) / rounds:.1f} ms in all, "
              f"a turn {statistics.median(turn_times_ms):.2f} ms, p99 {p99_ms:.2f}")  # fmt: skip
        write_times_ms: dict[str, list[float]] = {"file": [], "sqlite": [], "lmdb": []}
        with tempfile.TemporaryDirectory(dir=ROOT) as name:
            stores = {}
            for kind, make in (("file", file_store), ("sqlite", sqlite_store), ("lmdb", lmdb_store)):
                (Path(name) / kind).mkdir()
                stores[kind] = make(Path(name) / kind)
            for _ in range(rounds):  # the stores alternate
                for kind, write in stores.items():
                    write_times_ms[kind].append(elapsed_ms(write, data, lines))
        file_median_ms = statistics.median(write_times_ms["file"])
        for kind, times in write_times_ms.items():
            median_ms = statistics.median(times)
            print(
                f"  {kind}: {median_ms:.1f} ms ({min(times):.1f} to {max(times):.1f}), "
                f"{median_ms / file_median_ms:.2f} of the file's"
            )


def measure_herd(pairs: int) -> None:
    """Run the same scenario with gateways started from an empty disk, and from the kept one."""
    base_scenario = load(ROOT / "examples/lab/herd.toml").model_dump()
    for seed in range(1, pairs + 1):
        for disk in ("", "kept"):
            faults = [{**f, "how": disk} if f["what"] == "start" else f for f in base_scenario["faults"]]
            scenario = type(load(ROOT / "examples/lab/herd.toml")).model_validate(
                {
                    **base_scenario,
                    "seed": seed,
                    "faults": faults,
                    "fleet": {**base_scenario["fleet"], "snapshots_ms": 1000},
                }
            )
            with tempfile.TemporaryDirectory() as name:
                result = play(scenario, Path(name) / "run")
                figures = result.figures
                events = list(record.read(result.folder))
                full_times = [e["t"] for e in events if e["ev"] == "phase" and e["text"].startswith("full")]
                served_shares = [w.served_share() for w in figures.windows]
                print(orjson.dumps({
                    "seed": seed, "disk": disk or "empty", "full_s": figures.full_service_s,
                    "after_ready_s": figures.full_after_ready_s,
                    "shares_9_to_14_s": [round(s, 3) for s in served_shares[9:14]],
                    "before": round(statistics.mean(served_shares[3:9]), 3),
                    "counter_s": figures.most_counter_s, "dials_s": figures.most_dials_s,
                    "fell": figures.fell, "gateways_full": len(full_times),
                    "rules": {v.rule: v.status() for v in result.verdicts},
                    "late_p99_ms": round(result.late_ms[1], 1)}).decode(), flush=True)  # fmt: skip


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--rounds", type=int, default=15)
    parser.add_argument("--pairs", type=int, default=3)
    parser.add_argument("--only", choices=("cost", "herd"))
    args = parser.parse_args()
    if args.only != "herd":
        measure_cost(args.rounds)
    if args.only != "cost":
        measure_herd(args.pairs)
    return 0


if __name__ == "__main__":
    sys.exit(main())
