"""Make build/run: the package as it is started, its ordinary path compiled where that can be done.

    .venv/bin/python deploy/compile.py [FOLDER]

The sources stay what they are and what the tests read; mypyc (requirements-build.txt) and a C compiler make
extension modules of them beside a copy. Where either is missing or fails, the copy alone stands, and what is
started from it behaves the same at twice the cost of a request. Done again only when a source changes.
"""

from __future__ import annotations

import compileall
import hashlib
import importlib.util
import os
import py_compile
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
# What an ordinary request passes through, and every class that inherits from one of these.
COMPILED_PACKAGES = ("interface", "decision", "balancing", "quotas", "net")
COMPILED_MODULES = ("recovery/snapshotting_gateway.py",)
NOT_COMPILED = ("__init__.py", "net/config.py", "net/log_setup.py", "net/shutdown.py")  # run once


def compiled_files() -> list[str]:
    """The files to compile, as paths below the root."""
    package = ROOT / "hillmux"
    found = [file for name in COMPILED_PACKAGES for file in sorted((package / name).glob("*.py"))]
    left_out = {package / name for name in NOT_COMPILED}
    wanted = [file for file in found if file.name not in NOT_COMPILED and file not in left_out]
    return [str(file.relative_to(ROOT)) for file in (*wanted, *(package / name for name in COMPILED_MODULES))]


LONGEST_S = 600
KEY, NOTE = "sources.sha256", "compiled.txt"
SET_UP = """\
from mypyc.build import mypycify
from setuptools import setup
setup(name="hillmux-compiled", ext_modules=mypycify({files!r}, opt_level="3"))
"""


def key(files: list[Path]) -> str:
    """What the result depends on: the sources, this script, the pins and the interpreter."""
    digest = hashlib.sha256(sys.version.encode())
    for file in [*files, ROOT / "requirements-build.txt", Path(__file__).resolve()]:
        digest.update(str(file.relative_to(ROOT)).encode() + b"\0" + file.read_bytes() + b"\0")
    # What was missing may be there by the next build.
    spec = importlib.util.find_spec("mypyc")
    tools = (spec and spec.origin, os.environ.get("CC"), shutil.which("cc"), shutil.which("gcc"))
    digest.update(repr(tools).encode())
    return digest.hexdigest()


def copy(folder: Path) -> None:
    """The package's sources, and nothing that was made of them."""
    shutil.copytree(ROOT / "hillmux", folder / "hillmux", ignore=shutil.ignore_patterns("*.pyc", "*.so"))


def compile_in(folder: Path) -> str:
    """Compile in a copy of the package; '' or what went wrong."""
    script = folder / "setup.py"
    script.write_text(SET_UP.format(files=compiled_files()))
    command = [sys.executable, "setup.py", "-q", "build_ext", "--inplace"]
    try:
        done = subprocess.run(
            command, cwd=folder, capture_output=True, text=True, timeout=LONGEST_S, check=False
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        return str(error)
    finally:
        script.unlink()
        shutil.rmtree(folder / "build", ignore_errors=True)
    if done.returncode:
        return (done.stdout + done.stderr).strip()[-500:] or f"status {done.returncode}"
    return ""


def main() -> int:
    """Make the folder named as argument, build/run by default; 0 also where nothing could be compiled."""
    target = Path(sys.argv[1]) if len(sys.argv) > 1 else ROOT / "build/run"
    files = sorted((ROOT / "hillmux").rglob("*.py"))
    wanted = key(files)
    if (target / KEY).is_file() and (target / KEY).read_text() == wanted:
        print((target / NOTE).read_text(), end="")
        return 0
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=target.parent) as name:
        folder = Path(name) / "made"
        copy(folder)
        wrong = compile_in(folder)
        if wrong:  # nothing half made: a fresh copy
            shutil.rmtree(folder)
            copy(folder)
        note = (
            f"the decision module is not compiled: {wrong}\n"
            if wrong
            else "the decision module is compiled\n"
        )
        # Where it runs, nothing can be written: without this each start would compile the sources again, half
        # of a start's time. By hash and not looked at again, since a copy may change their times.
        compileall.compile_dir(
            folder / "hillmux",
            quiet=1,
            stripdir=folder,
            prependdir=target,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        (folder / NOTE).write_text(note)
        (folder / KEY).write_text(wanted)
        if target.exists():
            shutil.rmtree(target)
        folder.rename(target)
    print(note, end="")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
