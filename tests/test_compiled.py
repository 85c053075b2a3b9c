"""What is compiled passes the tests of its source; where it cannot be made, the source runs."""

from __future__ import annotations

import fcntl
import importlib.util
import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
TESTS = (  # the decisions, the adapter, and the real program between scripted peers
    "tests/decision",
    "tests/balancing/test_random_histories.py",
    "tests/balancing/test_selection.py",
    "tests/simulator/test_adapter.py",
    "tests/test_net.py",
    "tests/test_flows.py",
    "tests/net/test_discovery_watch.py",
    "tests/admin/test_operators_port.py",
    "tests/hot_restart/test_processes.py",
)


def make(folder: Path, **env: str) -> str:
    """What deploy/compile.py says of the folder that it made."""
    done = subprocess.run(
        [sys.executable, ROOT / "deploy/compile.py", folder],
        env={**os.environ, **env},
        text=True,
        capture_output=True,
        check=True,
    )
    return done.stdout


def run(folder: Path, *command: str) -> subprocess.CompletedProcess[str]:
    env = {**os.environ, "PYTHONPATH": str(folder), "PYTHONSAFEPATH": "1"}
    return subprocess.run(
        [sys.executable, *command], env=env, cwd=ROOT, text=True, capture_output=True, check=False
    )


def origin(folder: Path, module: str = "decision.gateway") -> str:
    return run(folder, "-c", f"import hillmux.{module} as m; print(m.__file__)").stdout.strip()


@pytest.mark.skipif(
    shutil.which("cc") is None and shutil.which("gcc") is None, reason="there is no C compiler"
)
@pytest.mark.parametrize("tests", TESTS)
def test_what_is_compiled_passes_the_tests_of_its_source(tests: str) -> None:
    folder = ROOT / "build/run"  # kept from run to run while no source changes
    folder.parent.mkdir(exist_ok=True)
    with open(folder.parent / "lock", "w") as lock:  # one worker of the tests makes it, the others wait
        fcntl.flock(lock, fcntl.LOCK_EX)
        assert "is compiled" in make(folder)
    for module in (
        "decision.gateway",
        "quotas.quotas",
        "quotas.estimate",
        "net.client_connection",
        "net.listener",
        "net.managed_gateway",
    ):
        assert origin(folder, module).endswith(".so") and str(folder) in origin(folder, module)
    done = run(folder, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-p", "no:xdist", tests)
    assert done.returncode == 0, done.stdout[-2000:]


def test_without_a_compiler_the_source_stands(tmp_path: Path) -> None:
    folder = tmp_path / "run"
    said = make(folder, CC="no-such-compiler", PATH="/nonexistent")
    assert "is not compiled" in said
    assert list(
        (folder / "hillmux/decision/__pycache__").glob("gateway.*.pyc")
    )  # no start compiles the sources again
    assert origin(folder) == str(folder / "hillmux/decision/gateway.py")
    assert not list(folder.rglob("*.so")) and not (folder / "setup.py").exists()
    done = run(folder, "-m", "hillmux.simulator.adapter")  # the adapter starts, and ends with its input
    assert done.returncode == 0, done.stderr


def test_what_was_half_made_is_not_left_beside_the_sources(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    spec = importlib.util.spec_from_file_location("compile_module", ROOT / "deploy/compile.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)

    def breaks(folder: Path) -> str:
        (folder / "hillmux/decision/gateway.so").touch()
        return "it broke"

    monkeypatch.setattr(module, "compile_in", breaks)
    monkeypatch.setattr(sys, "argv", ["compile.py", str(tmp_path / "run")])
    assert module.main() == 0
    assert (
        not list((tmp_path / "run").rglob("*.so")) and (tmp_path / "run/hillmux/decision/gateway.py").exists()
    )
    assert (tmp_path / "run/compiled.txt").read_text() == "the decision module is not compiled: it broke\n"


def test_what_is_up_to_date_is_left_alone(tmp_path: Path) -> None:
    folder = tmp_path / "run"
    make(folder, CC="no-such-compiler", PATH="/nonexistent")
    (folder / "mark").touch()
    make(folder, CC="no-such-compiler", PATH="/nonexistent")
    assert (folder / "mark").exists()
    (folder / "sources.sha256").write_text("of older sources")
    make(folder, CC="no-such-compiler", PATH="/nonexistent")
    assert not (folder / "mark").exists()
