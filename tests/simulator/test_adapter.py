"""The simulator's adapter as a process: valid batches, malformed lines, the example in docs/platform.md."""

from __future__ import annotations

import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
SETTINGS = (
    "bounds.try_limit=4 bounds.cancel=true bounds.retry_after=true bounds.max_retry_after_ms=1000 "
    "family_info.may_count=true family_info.count_wait_ms=30 fleet_size=3 "
    "grades.count=1 grades.0.name=read grades.0.objective_ms=1000 grades.0.deadline_ms=4000 "
    "grades.0.worth=1 grades.0.effect=safe "
    "packages.count=1 packages.0.name=basic packages.0.refill=2 packages.0.burst=6 "
    "packages.0.over_cost=1 some.new.key=7 rules.cold_from=0.2 rules.cold_ms=10000 "
    "rules.fall_multiple=3 rules.tip_after_ms=2000 tick_ms=2 zone=a zones=a,b"
)


def open_instances(*names: str) -> str:
    lines = ["BATCH 1000.0"]
    lines += [f"OPEN_INSTANCE {n} {7 + i} me={i} {SETTINGS}" for i, n in enumerate(names)]
    lines += ["CATALOG 0 2", "M 10.0.0.1:80 a std 0 up 1 -", "M 10.0.0.2:80 b std 1 up 1 -"]
    lines += [f"DIRECTORY_UPDATE {n} Persisted 1 0" for n in names]
    return "\n".join([*lines, "END", ""])


def batch(now: float, *lines: str) -> str:
    return "\n".join([f"BATCH {now}", *lines, "END", ""])


def run_adapter(text: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    env = {**os.environ, "PYTHONHASHSEED": hash_seed}
    return subprocess.run(
        [sys.executable, "-m", "hillmux.simulator.adapter"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=env,
        check=False,
    )


def request(name: str, request_id: str, customer: str = "key:c") -> str:
    return f"REQ {name} {request_id} read basic {customer} 4000.0 1 3 0 0"


def test_request_waits_for_the_counter_and_is_sent_to_a_host() -> None:
    completed = run_adapter(
        "BATCH 900\nEND\n" + open_instances("gateway/0") + batch(1010, request("gateway/0", "r-a"))
    )
    assert completed.returncode == 0 and completed.stderr == ""
    lines = completed.stdout.splitlines()
    assert lines[0] == "OK" and lines.count("OK") == 3
    name = re.search(r"ADD gateway/0 (\S+) \S+ \S+", completed.stdout)
    assert name and name[1].isascii() and len(name[1]) <= 64
    delivered = run_adapter(
        "BATCH 900\nEND\n"
        + open_instances("gateway/0")
        + batch(1010, request("gateway/0", "r-a"))
        + batch(1014, f"COUNTER_REPLY gateway/0 1 Ok 2.15 {name[1]}")
    )
    sent = re.search(r"DELIVER gateway/0 r-a ([\d.]+) (10\.0\.0\.\d:80)", delivered.stdout)
    assert sent and 0 < float(sent[1]) <= 1000
    finished = run_adapter(
        "BATCH 900\nEND\n"
        + open_instances("gateway/0")
        + batch(1010, request("gateway/0", "r-a"))
        + batch(1014, f"COUNTER_REPLY gateway/0 1 Ok 2.15 {name[1]}")
        + batch(
            1100,
            f"ENDED gateway/0 r-a 0 {sent[2]} Ok 86.0 1 0 0 mean_ms:14.5,news:3",
            "CLIENT_LEFT gateway/0 r-a",
            "TICK_DUE gateway/0 sweep",
        )
    )
    assert finished.returncode == 0
    assert "REFUSE" not in finished.stdout and "GIVE_UP" not in finished.stdout


@pytest.mark.parametrize(
    "line",
    [
        "REQ gateway/0 r-a read basic key:c 4000.0 1 3 0",
        "HELLO gateway/0",
        "TICK_DUE gateway/0",
        "REQ gateway/0 r-a read basic key:c soon 1 3 0 0",
        "REQ gateway/0 r-a read basic key:c nan 1 3 0 0",
        "ENDED gateway/0 r-a 0 h Odd 1 1 0 0 -",
        "ENDED gateway/0 r-a x h Ok 1 1 0 0 -",
        "CATALOG 1 1\nM a b",
        "DIRECTORY_UPDATE gateway/0 Complete 1 9",
        "INBOX gateway/0 1 zz",
        "",
    ],
)
def test_adapter_exits_with_one_line_of_error_for_a_malformed_line(line: str) -> None:
    completed = run_adapter(open_instances("gateway/0") + f"BATCH 1010\n{line}\nEND\n")
    assert completed.returncode not in (0, 1)
    assert re.fullmatch(r"line \d+: .+\n", completed.stderr)
    assert "Traceback" not in completed.stderr
    assert completed.stdout.endswith("OK\n") and completed.stdout.count("OK") == 1


def test_adapter_exits_with_one_line_of_error_for_truncated_input() -> None:
    for text in (
        open_instances("gateway/0") + "BATCH 1010\nREQ gate",
        open_instances("gateway/0") + "BATCH 1010\n",
    ):
        completed = run_adapter(text)
        assert completed.returncode != 0 and completed.stderr.count("\n") == 1


def test_failure_of_a_gateway_is_reported_for_its_instance() -> None:
    completed = run_adapter("BATCH 1\nOPEN_INSTANCE gateway/0 5 fleet_size=0 grades.count=0\nEND\n")
    assert completed.returncode == 0
    assert completed.stdout == "BROKEN gateway/0 ValueError: classes: found none, expected at least one\nOK\n"


def transcript(*names: str) -> str:
    text = open_instances(*names)
    for step in range(60):
        now = 30000 + 40 * step
        lines = [request(n, f"r-{n[-1]}{step}", f"key:c{step % 7}") for n in names]
        text += batch(now, *lines, *(f"TICK_DUE {n} sweep" for n in names))
    return text


def test_actions_do_not_depend_on_the_hash_seed_or_on_other_instances() -> None:
    joint_output = run_adapter(transcript("gateway/0", "gateway/1")).stdout
    assert joint_output.count("DELIVER") + joint_output.count("ADD") > 20
    assert run_adapter(transcript("gateway/0", "gateway/1"), hash_seed="99").stdout == joint_output
    separate_lines = run_adapter(transcript("gateway/0")).stdout.splitlines()
    own_lines = [x for x in joint_output.splitlines() if " gateway/0 " in x]
    assert own_lines == [x for x in separate_lines if x != "OK"]


def test_example_in_the_platform_docs_runs() -> None:
    code = re.search(r"```python\n(.*?)```", (ROOT / "docs" / "platform.md").read_text(), re.DOTALL)
    assert code
    completed = subprocess.run(
        [sys.executable, "-c", code[1]], capture_output=True, text=True, cwd=ROOT, check=False
    )
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout.splitlines()[-1] == "served by 10.0.0.1:80"


def test_deploy_file_lists_every_decision_module_and_the_adapter() -> None:
    text = (ROOT / "deploy" / "balancer.toml").read_text()
    modules = [
        str(file.relative_to(ROOT))
        for package in ("balancing", "decision", "quotas")
        for file in sorted((ROOT / "hillmux" / package).glob("*.py"))
        if file.name != "__init__.py"
    ]
    assert tomllib.loads(text)["policy"] == modules
    assert 'exec .venv/bin/python -P -m hillmux.simulator.adapter"' in text
