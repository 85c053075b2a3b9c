"""What a request costs on the whole path, beside a bare proxy of the same libraries and one of aiohttp.

    python benchmarks/path.py [--hosts 10 1000] [--customers 20000] [--system-calls] [--flame FILE.svg]
    python benchmarks/path.py --base REVISION     # compares the work tree with an earlier revision
    python benchmarks/path.py --base FOLDER       # compares our compiled build with another's build/run

The gateway is started as the platform starts it (from build/run), with counter and registry. Gateways and
proxies use the same core in turn; load, hosts and the other stand-ins have a core each. CPU time is what the
kernel reports for the process (schedstat). A figure in us is that of the fastest tenth of the blocks; a ratio
compares adjacent blocks.
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

from benchmarks.trees import MAX_MEAN_RATIO, ROOT, Tree, is_regression, ratio

CORE, LOAD_CORE, HOSTS_CORE, OTHERS_CORE = 2, 3, 4, 5
HOST_PORT_COUNT = 8  # ports of the host stand-ins, shared by all hosts
CONNECTIONS = 32
REJECTION_INTERVAL = 200  # attempts per one that its host rejects, which is then retried
MAX_RATIO = 3.0
CLASSES = [
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
PLANS = [
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
    """One stand-in or proxy process.

    It reads its arguments and later cases as lines of JSON, and answers each line with one line.
    """

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


def start_gateway(
    tree: Tree, folder: Path, hosts: int, stand_ins: dict[str, Process], command_prefix: list[str]
) -> tuple[Any, int]:
    """Start a tree's gateway with a registry of its own; returns its process and port."""
    instances = [
        {
            "instanceId": f"s-{i}",
            "hostPort": f"127.0.0.1:{stand_ins['hosts'].ports[i % HOST_PORT_COUNT]}",
            "zone": f"z{i % 3}",
            "machineType": "m",
            "cell": 0,
            "lifecycle": "ready",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for i in range(hosts)
    ]
    registry = stand_ins[f"registry {len(stand_ins)}"] = Process("registry", OTHERS_CORE, instances=instances)
    config = configuration(registry.ports[0], stand_ins["counter"].ports[0])
    process, port = launch(tree, folder, config, command_prefix)
    os.sched_setaffinity(process.pid, {CORE})
    return process, port


def configuration(discovery: int, counter: int) -> dict[str, Any]:
    """Configuration of a gateway that uses discovery and counter at these ports."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 16384},
        "counter": f"127.0.0.1:{counter}",
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": {
            "grades": CLASSES,
            "packages": PLANS,
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
    tree: Tree, folder: Path, config: dict[str, Any], command_prefix: list[str]
) -> tuple[subprocess.Popen[str], int]:
    """Start a tree's gateway as the platform does; returns its process and the port that it listens on.

    Args:
        tree: the tree to start.
        folder: where the configuration file is written.
        config: the gateway's configuration.
        command_prefix: words before the gateway's command, such as a tracer.

    Raises:
        RuntimeError: the gateway ended before it listened.
    """
    path = folder / f"config-{os.urandom(4).hex()}.json"
    path.write_text(json.dumps(config))
    process = subprocess.Popen(
        [*command_prefix, sys.executable, "-P", "-m", tree.package],
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


def copied_bytes(pid: int) -> int:
    """Bytes that a process has read and written by system calls."""
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    return sum(int(line.split()[1]) for line in lines if line.startswith(("rchar", "wchar")))


def wake_up_count(pid: int) -> int:
    return int(re.findall(r"voluntary_ctxt_switches:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())[0])


class Subject:
    """A measured process that listens on a port, and its load generator."""

    def __init__(self, name: str, pid: int, port: int, customers: int, close: Any) -> None:
        self.name, self.pid, self.close_process = name, pid, close
        self.load = Process("load", LOAD_CORE, port=port, customers=customers, connections=CONNECTIONS)
        self.reset()

    def reset(self) -> None:
        """Clear the recorded figures before a new series of blocks."""
        self.cpu_us: list[float] = []
        self.copied_bytes: list[float] = []
        self.p50_ms: list[float] = []
        self.p99_ms: list[float] = []
        self.wake_ups: list[float] = []
        self.statuses: dict[str, int] = {}

    def run_block(self, requests: int, record: bool = True, rate: float = 0.0) -> dict[str, Any]:
        cpu_before_s, wake_ups_before, copied_before = (
            cpu_s(self.pid),
            wake_up_count(self.pid),
            copied_bytes(self.pid),
        )
        result = self.load.play(requests=requests, rate=rate)
        if record:
            self.cpu_us.append((cpu_s(self.pid) - cpu_before_s) / requests * 1e6)
            self.copied_bytes.append((copied_bytes(self.pid) - copied_before) / requests)
            self.p50_ms.append(result["p50_ms"])
            self.p99_ms.append(result["p99_ms"])
            self.wake_ups.append((wake_up_count(self.pid) - wake_ups_before) / requests)
            for status, times in result["statuses"].items():
                self.statuses[status] = self.statuses.get(status, 0) + times
        return result

    def close(self) -> None:
        self.load.close()
        self.close_process()


def start_subject(
    name: str, tree: Tree | None, folder: Path, hosts: int, customers: int, stand_ins: dict[str, Process]
) -> Subject:
    if tree is None:
        proxy = Process(name, CORE, ports=stand_ins["hosts"].ports)
        return Subject(name, proxy.process.pid, proxy.ports[0], customers, proxy.close)
    process, port = start_gateway(tree, folder, hosts, stand_ins, [])

    def close() -> None:
        process.kill()
        process.wait()

    return Subject(name, process.pid, port, customers, close)


def measure(subjects: list[Subject], blocks: int, requests: int, rate: float) -> None:
    for subject in subjects:
        subject.reset()
        subject.run_block(max(requests, 4000), record=False)
    for turn in range(blocks):
        for subject in subjects if turn % 2 else reversed(subjects):
            subject.run_block(requests, rate=rate)


def report(subjects: list[Subject], check_regression: bool) -> bool:
    """Print the recorded figures; returns whether one exceeds its bound."""
    first, missed = subjects[0], False
    for subject in subjects:
        mean, lower, upper = ratio(list(zip(first.cpu_us, subject.cpu_us, strict=True)))
        quickest_us = statistics.quantiles(subject.cpu_us, n=10)[0]
        print(
            f"{subject.name:28} {quickest_us:6.1f} us a request, {mean:.2f} ({lower:.2f} to {upper:.2f}) of "
            f"{first.name}; p50 {statistics.median(subject.p50_ms):.2f}, "
            f"p99 {statistics.median(subject.p99_ms):.2f} ms; "
            f"{statistics.mean(subject.wake_ups):.2f} wake-ups, "
            f"{statistics.mean(subject.copied_bytes):.0f} bytes copied; {subject.statuses}",
            flush=True,
        )
        missed |= check_regression and is_regression(mean, lower)
        missed |= subject.name == "10 hosts, 200 customers" and mean > MAX_RATIO
    return missed


def system_calls(tree: Tree, folder: Path, stand_ins: dict[str, Process], requests: int) -> None:
    """Print the gateway's system calls per request by name, as counted by strace."""
    if shutil.which("strace") is None:
        print("system calls: not counted, there is no strace")
        return
    counts: list[dict[str, int]] = []
    for requested in (500, 500 + requests):  # the difference excludes the start
        out = folder / f"strace-{requested}"
        process, port = start_gateway(tree, folder, 10, stand_ins, ["strace", "-f", "-c", "-o", str(out)])
        load = Process("load", LOAD_CORE, port=port, customers=200, connections=CONNECTIONS)
        load.play(requests=requested)
        load.close()
        children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
        os.kill(int(children[0]), signal.SIGTERM)
        process.wait()
        rows = [line.split() for line in out.read_text().splitlines()]
        counts.append({r[-1]: int(r[3]) for r in rows if len(r) >= 5 and r[3].isdigit() and r[-1] != "total"})
    per_request = {name: (n - counts[0].get(name, 0)) / requests for name, n in counts[1].items()}
    print(
        "system calls a request: "
        + ", ".join(
            f"{name} {n:.2f}" for name, n in sorted(per_request.items(), key=lambda x: -x[1]) if n >= 0.01
        )
        + f"; {sum(per_request.values()):.2f} in all"
    )


def flame(tree: Tree, folder: Path, stand_ins: dict[str, Process], path: Path) -> None:
    spy = shutil.which("py-spy") or str(Path(sys.executable).with_name("py-spy"))
    process, port = start_gateway(tree, folder, 10, stand_ins, [])
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
        stand_ins = {
            "hosts": Process("hosts", HOSTS_CORE, ports=HOST_PORT_COUNT, full_every=REJECTION_INTERVAL),
            "counter": Process("counter", OTHERS_CORE),
        }
        tree, subjects = Tree(None), []
        try:
            if args.base:
                old = Tree(args.base)
                # A folder contains a compiled package (another checkout's build/run): compare with ours.
                new = Tree.build() if Path(args.base).is_dir() else tree
                subjects = [
                    start_subject("before", old, folder, 10, 200, stand_ins),
                    start_subject("now", new, folder, 10, 200, stand_ins),
                ]
            else:
                sizes = [(h, 200) for h in args.hosts] + [(10, c) for c in args.customers]
                built_tree = Tree.build()
                subjects = [
                    start_subject(role, None, folder, 0, 200, stand_ins) for role in ("bare", "aiohttp")
                ]
                subjects.append(start_subject("as source, 10 hosts", tree, folder, 10, 200, stand_ins))
                subjects += [
                    start_subject(f"{h} hosts, {c} customers", built_tree, folder, h, c, stand_ins)
                    for h, c in sizes
                ]
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
                system_calls(tree, folder, stand_ins, 2000)
            if args.flame:
                flame(tree, folder, stand_ins, args.flame)
        finally:
            for subject in subjects:
                subject.close()
            for process in stand_ins.values():
                process.close()
    if args.base:
        print(
            f"wanted: at most {MAX_MEAN_RATIO} of before, or within the noise: "
            f"{'missed' if missed else 'met'}"
        )
    else:
        print(f"wanted: at most {MAX_RATIO} of the bare proxy: {'missed' if missed else 'met'}")
    return missed


if __name__ == "__main__":
    raise SystemExit(main())
