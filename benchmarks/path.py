"""What a request costs on the whole path, beside a bare proxy of the same libraries and one of aiohttp.

    python benchmarks/path.py [--hosts 10 1000] [--customers 20000] [--system-calls] [--flame FILE.svg]
    python benchmarks/path.py --base REVISION     # this tree and one before, in turn
    python benchmarks/path.py --base FOLDER       # another checkout's build/run and ours, compiled

The gateway as the platform starts it (from build/run), with counter and registry; gateway and proxies
share one core in turn, load, hosts and the other stand-ins have a core each. CPU is what the kernel
counts for the process (schedstat); a figure in us is that of the quickest tenth of the blocks, a ratio that
of neighbouring blocks.
"""

from __future__ import annotations

import argparse
import json
import os
import re
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from benchmarks.trees import ROOT, WORSE, Tree, ratio, worse

CORE, LOAD_CORE, HOSTS_CORE, OTHERS_CORE = 2, 3, 4, 5
PORTS = 8  # of the hosts: many hosts share them
CONNECTIONS = 32
FULL_EVERY = 200  # one attempt in so many is turned away by its host and sent anew
MOST_RATIO = 3.0
GRADES = [
    {"name": "read", "objective_ms": 3000.0, "deadline_ms": 6000.0, "worth": 3.0, "effect": "safe"},
    {
        "name": "put",
        "objective_ms": 5500.0,
        "deadline_ms": 6000.0,
        "worth": 2.0,
        "effect": "keyed",
        "key_scope": "zone",
        "window_ms": 4000.0,
    },
    {"name": "pay", "objective_ms": 3000.0, "deadline_ms": 6000.0, "worth": 2.0, "effect": "unsafe"},
]
PACKAGES = [
    {"name": "team", "refill": 5000.0, "burst": 10000.0, "worth_factor": 1.0},
    {
        "name": "wide",
        "refill": 20000.0,
        "burst": 40000.0,
        "worth_factor": 1.0,
        "ceiling_rate": 20000.0,
        "hard_burst": 20000.0,
    },
]


class Process:
    """One stand-in or proxy: a line of JSON when it is ready, then a line for each line."""

    def __init__(self, role: str, core: int | None, **arguments: Any) -> None:
        command = [sys.executable, str(ROOT / "benchmarks/standins.py"), role]
        self.process = subprocess.Popen(command, text=True, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        if core is not None:
            os.sched_setaffinity(self.process.pid, {core})
        self.ports: list[int] = self.play(**arguments)["ports"]

    def _line(self) -> dict[str, Any]:
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"a process of the benchmark ended with {self.process.wait()}")
        answer: dict[str, Any] = json.loads(line)
        return answer

    def play(self, **case: Any) -> dict[str, Any]:
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(case) + "\n")
        self.process.stdin.flush()
        return self._line()

    def close(self) -> None:
        self.process.kill()
        self.process.wait()


def gateway(
    tree: Tree, folder: Path, hosts: int, back: dict[str, Process], wrap: list[str]
) -> tuple[Any, int]:
    """The program of a tree, started as the platform does; `wrap` goes before its command."""
    instances = [
        {
            "instanceId": f"s-{i}",
            "hostPort": f"127.0.0.1:{back['hosts'].ports[i % PORTS]}",
            "zone": f"z{i % 3}",
            "machineType": "m",
            "cell": 0,
            "lifecycle": "ready",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for i in range(hosts)
    ]
    registry = back[f"registry {len(back)}"] = Process("registry", OTHERS_CORE, instances=instances)
    config = configuration(registry.ports[0], back["counter"].ports[0])
    process, port = launch(tree, folder, config, wrap)
    os.sched_setaffinity(process.pid, {CORE})
    return process, port


def configuration(discovery: int, counter: int) -> dict[str, Any]:
    """A gateway's configuration, with discovery and counter at these ports."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 16384},
        "counter": f"127.0.0.1:{counter}",
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": {
            "grades": GRADES,
            "packages": PACKAGES,
            "fleet_size": 1,
            "me": 0,
            "zone": "a",
            "tick_ms": 4.0,
            "bounds": {
                "try_limit": 3,
                "cancel": True,
                "retry_after": True,
                "max_retry_after_ms": 1000.0,
                "dial_timeout_ms": 250.0,
                "conn_idle_ms": 30000.0,
            },
            "family_info": {"may_count": True, "count_wait_ms": 30.0, "trued_up": True, "most_units": 4},
        },
    }


def launch(
    tree: Tree, folder: Path, config: dict[str, Any], wrap: list[str]
) -> tuple[subprocess.Popen[str], int]:
    """Start the program of a tree as the platform does; its process, and the port that it listens on."""
    path = folder / f"config-{os.urandom(4).hex()}.json"
    path.write_text(json.dumps(config))
    process = subprocess.Popen(
        [*wrap, sys.executable, "-P", "-m", tree.package],
        cwd=tree.path,
        text=True,
        stderr=subprocess.PIPE,
        env={**os.environ, "ROUTER_CONFIG": str(path), "PYTHONPATH": str(tree.path)},
    )
    assert process.stderr is not None
    while "listening on" not in (line := process.stderr.readline()):
        if not line:
            raise RuntimeError(f"the gateway ended with {process.wait()}")
    return process, int(line.rsplit(":", 1)[1])


def cpu_s(pid: int) -> float:
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def copied(pid: int) -> int:
    """Bytes that went through its reads and writes."""
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    return sum(int(line.split()[1]) for line in lines if line.startswith(("rchar", "wchar")))


def wakeups(pid: int) -> int:
    return int(re.findall(r"voluntary_ctxt_switches:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())[0])


class Subject:
    """What is measured: a process that listens, and its load."""

    def __init__(self, name: str, pid: int, port: int, customers: int, close: Any) -> None:
        self.name, self.pid, self.close_process = name, pid, close
        self.load = Process("load", LOAD_CORE, port=port, customers=customers, connections=CONNECTIONS)
        self.forget()

    def forget(self) -> None:
        """Begin a series of blocks."""
        self.us: list[float] = []
        self.bytes: list[float] = []
        self.p50: list[float] = []
        self.p99: list[float] = []
        self.woken: list[float] = []
        self.statuses: dict[str, int] = {}

    def block(self, requests: int, count: bool = True, rate: float = 0.0) -> dict[str, Any]:
        cpu, woken, moved = cpu_s(self.pid), wakeups(self.pid), copied(self.pid)
        got = self.load.play(requests=requests, rate=rate)
        if count:
            self.us.append((cpu_s(self.pid) - cpu) / requests * 1e6)
            self.bytes.append((copied(self.pid) - moved) / requests)
            self.p50.append(got["p50_ms"])
            self.p99.append(got["p99_ms"])
            self.woken.append((wakeups(self.pid) - woken) / requests)
            for status, times in got["statuses"].items():
                self.statuses[status] = self.statuses.get(status, 0) + times
        return got

    def close(self) -> None:
        self.load.close()
        self.close_process()


def start(
    name: str, tree: Tree | None, folder: Path, hosts: int, customers: int, back: dict[str, Process]
) -> Subject:
    if tree is None:
        proxy = Process(name, CORE, ports=back["hosts"].ports)
        return Subject(name, proxy.process.pid, proxy.ports[0], customers, proxy.close)
    process, port = gateway(tree, folder, hosts, back, [])

    def close() -> None:
        process.kill()
        process.wait()

    return Subject(name, process.pid, port, customers, close)


def measure(subjects: list[Subject], blocks: int, requests: int, rate: float) -> None:
    for subject in subjects:
        subject.forget()
        subject.block(max(requests, 4000), count=False)
    for turn in range(blocks):
        for subject in subjects if turn % 2 else reversed(subjects):
            subject.block(requests, rate=rate)


def report(subjects: list[Subject], guard: bool) -> bool:
    """Print what was measured; whether a figure is missed."""
    first, missed = subjects[0], False
    for subject in subjects:
        mean, least, most = ratio(list(zip(first.us, subject.us, strict=True)))
        quick = statistics.quantiles(subject.us, n=10)[0]
        print(
            f"{subject.name:28} {quick:6.1f} us a request, {mean:.2f} ({least:.2f} to {most:.2f}) of "
            f"{first.name}; p50 {statistics.median(subject.p50):.2f}, "
            f"p99 {statistics.median(subject.p99):.2f} ms; "
            f"{statistics.mean(subject.woken):.2f} wake-ups, "
            f"{statistics.mean(subject.bytes):.0f} bytes copied; {subject.statuses}",
            flush=True,
        )
        missed |= guard and worse(mean, least)
        missed |= subject.name == "10 hosts, 200 customers" and mean > MOST_RATIO
    return missed


def system_calls(tree: Tree, folder: Path, back: dict[str, Process], requests: int) -> None:
    """What strace counts in the gateway under a load of a few thousand requests, by name."""
    if shutil.which("strace") is None:
        print("system calls: not counted, there is no strace")
        return
    counts: list[dict[str, int]] = []
    for requested in (500, 500 + requests):  # the difference leaves the start out
        out = folder / f"strace-{requested}"
        process, port = gateway(tree, folder, 10, back, ["strace", "-f", "-c", "-o", str(out)])
        load = Process("load", LOAD_CORE, port=port, customers=200, connections=CONNECTIONS)
        load.play(requests=requested)
        load.close()
        children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
        os.kill(int(children[0]), signal.SIGTERM)
        process.wait()
        rows = [line.split() for line in out.read_text().splitlines()]
        counts.append({r[-1]: int(r[3]) for r in rows if len(r) >= 5 and r[3].isdigit() and r[-1] != "total"})
    each = {name: (n - counts[0].get(name, 0)) / requests for name, n in counts[1].items()}
    print(
        "system calls a request: "
        + ", ".join(f"{name} {n:.2f}" for name, n in sorted(each.items(), key=lambda x: -x[1]) if n >= 0.01)
        + f"; {sum(each.values()):.2f} in all"
    )


def flame(tree: Tree, folder: Path, back: dict[str, Process], path: Path) -> None:
    spy = shutil.which("py-spy") or str(Path(sys.executable).with_name("py-spy"))
    process, port = gateway(tree, folder, 10, back, [])
    load = Process("load", LOAD_CORE, port=port, customers=200, connections=CONNECTIONS)
    load.play(requests=2000)
    recorder = subprocess.Popen(
        [
            spy,
            "record",
            "-r",
            "500",
            "-d",
            "6",
            "-f",
            "flamegraph",
            "-o",
            str(path),
            "--pid",
            str(process.pid),
        ],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    while recorder.poll() is None:
        load.play(requests=2000)
    load.close()
    process.kill()
    process.wait()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--base", help="a revision, or a folder with a compiled package, to compare with")
    parser.add_argument("--hosts", type=int, nargs="*", default=[10, 100, 1000, 5000])
    parser.add_argument("--customers", type=int, nargs="*", default=[20_000, 200_000])
    parser.add_argument("--blocks", type=int, default=30)
    parser.add_argument("--requests", type=int, default=500, help="for each block")
    parser.add_argument("--system-calls", action="store_true")
    parser.add_argument("--flame", type=Path)
    parser.add_argument("--open-rate", type=float, default=0.0, help="requests a second of an open-loop run")
    args = parser.parse_args()
    missed = False
    with tempfile.TemporaryDirectory(prefix="hillmux-path-") as name:
        folder = Path(name)
        back = {
            "hosts": Process("hosts", HOSTS_CORE, ports=PORTS, full_every=FULL_EVERY),
            "counter": Process("counter", OTHERS_CORE),
        }
        tree, subjects = Tree(None), []
        try:
            if args.base:
                old = Tree(args.base)
                # A folder holds a compiled package (another checkout's build/run): compare it with ours.
                new = Tree.built() if Path(args.base).is_dir() else tree
                subjects = [
                    start("before", old, folder, 10, 200, back),
                    start("now", new, folder, 10, 200, back),
                ]
            else:
                sizes = [(h, 200) for h in args.hosts] + [(10, c) for c in args.customers]
                built = Tree.built()
                subjects = [start(role, None, folder, 0, 200, back) for role in ("bare", "aiohttp")]
                subjects.append(start("as source, 10 hosts", tree, folder, 10, 200, back))
                subjects += [start(f"{h} hosts, {c} customers", built, folder, h, c, back) for h, c in sizes]
            for rate in (0.0, args.open_rate):
                measure(subjects, args.blocks, args.requests, rate)
                print(
                    f"open loop, {rate:.0f} requests a second"
                    if rate
                    else f"closed loop, {CONNECTIONS} connections"
                )
                missed |= report(subjects, bool(args.base))
                if not args.open_rate:
                    break
            for subject in subjects:
                subject.close()
            subjects = []
            if args.system_calls:
                system_calls(tree, folder, back, 2000)
            if args.flame:
                flame(tree, folder, back, args.flame)
        finally:
            for subject in subjects:
                subject.close()
            for process in back.values():
                process.close()
    if args.base:
        print(f"wanted: at most {WORSE} of before, or within the noise: {'missed' if missed else 'met'}")
    else:
        print(f"wanted: at most {MOST_RATIO} of the bare proxy: {'missed' if missed else 'met'}")
    return missed


if __name__ == "__main__":
    raise SystemExit(main())
