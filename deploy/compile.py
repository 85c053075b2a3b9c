"""Make build/run: the package as it is started, with the code of the request path compiled if possible.

    .venv/bin/python deploy/compile.py [FOLDER]

The sources are not changed, and the tests use them. mypyc (requirements-build.txt) and a C compiler build
extension modules next to a copy of the sources. If either is missing or fails, only the copy is made, which
behaves the same at twice the cost of a request. The build is repeated only when one of its inputs changes.
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
# The code of the ordinary request path, and every class that inherits from one of its classes.
COMPILED_PACKAGES = ("interface", "decision", "balancing", "quotas", "net")
COMPILED_MODULES = ("recovery/snapshotting_gateway.py",)
NOT_COMPILED = ("__init__.py", "net/config.py", "net/log_setup.py", "net/shutdown.py")  # these run only once


def compiled_files() -> list[str]:
    """The files to compile, as paths below the root."""
    package = ROOT / "hillmux"
    candidates = [file for name in COMPILED_PACKAGES for file in sorted((package / name).glob("*.py"))]
    excluded = {package / name for name in NOT_COMPILED}
    compiled = [file for file in candidates if file.name not in NOT_COMPILED and file not in excluded]
    return [
        str(file.relative_to(ROOT)) for file in (*compiled, *(package / name for name in COMPILED_MODULES))
    ]


BUILD_TIMEOUT_S = 600
DIGEST_FILE, NOTE_FILE = "sources.sha256", "compiled.txt"
SETUP_SCRIPT = """\
from mypyc.build import mypycify
from setuptools import setup
setup(name="hillmux-compiled", ext_modules=mypycify({files!r}, opt_level="3"))
"""


def source_digest(files: list[Path]) -> str:
    """Digest of the build's inputs: the sources, this script, pinned versions, interpreter and compilers."""
    digest = hashlib.sha256(sys.version.encode())
    for file in [*files, ROOT / "requirements-build.txt", Path(__file__).resolve()]:
        digest.update(str(file.relative_to(ROOT)).encode() + b"\0" + file.read_bytes() + b"\0")
    # A compiler or mypyc may be installed or removed between two builds.
    spec = importlib.util.find_spec("mypyc")
    tools = (spec and spec.origin, os.environ.get("CC"), shutil.which("cc"), shutil.which("gcc"))
    digest.update(repr(tools).encode())
    return digest.hexdigest()


def copy_sources(folder: Path) -> None:
    """Copy the package's sources, without files built from them."""
    shutil.copytree(ROOT / "hillmux", folder / "hillmux", ignore=shutil.ignore_patterns("*.pyc", "*.so"))


def compile_in(folder: Path) -> str:
    """Compile a copy of the package in place; returns '' or the error's text."""
    script = folder / "setup.py"
    script.write_text(SETUP_SCRIPT.format(files=compiled_files()))
    command = [sys.executable, "setup.py", "-q", "build_ext", "--inplace"]
    try:
        completed = subprocess.run(
            command, cwd=folder, capture_output=True, text=True, timeout=BUILD_TIMEOUT_S, check=False
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        return str(error)
    finally:
        script.unlink()
        shutil.rmtree(folder / "build", ignore_errors=True)
    if completed.returncode:
        return (completed.stdout + completed.stderr).strip()[-500:] or f"status {completed.returncode}"
    return ""


def main() -> int:
    """Build the folder given as argument, build/run by default; returns 0 even if compilation failed."""
    target = Path(sys.argv[1]) if len(sys.argv) > 1 else ROOT / "build/run"
    files = sorted((ROOT / "hillmux").rglob("*.py"))
    digest = source_digest(files)
    if (target / DIGEST_FILE).is_file() and (target / DIGEST_FILE).read_text() == digest:
        print((target / NOTE_FILE).read_text(), end="")
        return 0
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=target.parent) as name:
        folder = Path(name) / "made"
        copy_sources(folder)
        error_text = compile_in(folder)
        if error_text:  # discard partial results and copy again
            shutil.rmtree(folder)
            copy_sources(folder)
        note = (
            f"the decision module is not compiled: {error_text}\n"
            if error_text
            else "the decision module is compiled\n"
        )
        # The installation is read-only, so without this each start would compile the sources to bytecode,
        # which takes half of a start's time. Hashes are not checked at a start; modification times are not
        # used, since copying may change them.
        compileall.compile_dir(
            folder / "hillmux",
            quiet=1,
            stripdir=folder,
            prependdir=target,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        (folder / NOTE_FILE).write_text(note)
        (folder / DIGEST_FILE).write_text(digest)
        if target.exists():
            shutil.rmtree(target)
        folder.rename(target)
    print(note, end="")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
