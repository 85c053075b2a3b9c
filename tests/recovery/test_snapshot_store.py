"""The directory of snapshots: one process at a time, and complete files wherever a process is killed."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from hillmux.recovery import snapshot_store
from hillmux.recovery.snapshot_format import MAX_DOCUMENT_BYTES, SnapshotError
from hillmux.recovery.snapshot_store import IDENTITY_NAME, QUARANTINE_NAME, SNAPSHOT_NAME, StateDirectory

ROOT = Path(__file__).resolve().parents[2]
LOCKING_PROCESS = """
import sys, time
from pathlib import Path
from hillmux.recovery.snapshot_store import StateDirectory
print(StateDirectory(Path(sys.argv[1])).lock(), flush=True)
time.sleep(60)
"""
KILLED_WRITER = """
import os, sys
from pathlib import Path
from hillmux.recovery import snapshot_store as module
folder = module.StateDirectory(Path(sys.argv[1]))
folder.lock()
left = int(sys.argv[2])

def dying(call):
    def once(*args, **kwargs):
        global left
        left -= 1
        if left < 0:
            os._exit(9)
        return call(*args, **kwargs)
    return once

for name in ("open", "write", "fsync", "replace", "close"):
    setattr(os, name, dying(getattr(os, name)))
folder.write(b"new" * 5000)
os._exit(0)
"""


def test_directory_is_locked_until_its_process_ends(tmp_path: Path) -> None:
    command = [sys.executable, "-c", LOCKING_PROCESS, str(tmp_path)]
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) as other:
        assert other.stdout is not None and other.stdout.readline() == b"True\n"
        directory = StateDirectory(tmp_path)
        assert not directory.lock()
        other.send_signal(signal.SIGKILL)
        other.wait()
        assert directory.lock() and directory.lock()  # locking again succeeds


def test_process_killed_during_a_write_leaves_the_old_or_the_new_file(tmp_path: Path) -> None:
    old, new = b"old" * 5000, b"new" * 5000
    contents, calls_before_kill = [], 0
    while True:
        path = tmp_path / str(calls_before_kill)
        before = StateDirectory(path)
        assert before.lock()
        before.write(old)
        before.close()
        done = subprocess.run(
            [sys.executable, "-c", KILLED_WRITER, str(path), str(calls_before_kill)], cwd=ROOT, check=False
        )
        after = StateDirectory(path)
        assert after.lock()
        contents.append(after.read())
        after.write(b"next")  # leftovers of the killed write do not block the next one
        assert after.read() == b"next"
        if done.returncode == 0:
            break
        assert done.returncode == 9
        calls_before_kill += 1
    assert set(contents) == {old, new} and contents[-1] == new and calls_before_kill >= 6
    # Once the new file is in place, later calls do not bring the old one back.
    assert contents == sorted(contents, key=lambda content: content == new)


@pytest.mark.parametrize("failing_call", ["write", "fsync", "replace"])
def test_failed_write_keeps_the_last_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, failing_call: str
) -> None:
    directory = StateDirectory(tmp_path)
    assert directory.lock()
    directory.write(b"old")

    def fails(*args: object, **kwargs: object) -> None:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(snapshot_store.os, failing_call, fails)
        with pytest.raises(OSError, match="No space"):
            directory.write(b"new")
    assert directory.read() == b"old"
    directory.write(b"newer")
    assert directory.read() == b"newer"


def test_short_writes_are_continued(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    directory, write = StateDirectory(tmp_path), os.write
    assert directory.lock()
    monkeypatch.setattr(snapshot_store.os, "write", lambda file, data: write(file, data[:7]))
    directory.write(b"0123456789" * 10)
    assert directory.read() == b"0123456789" * 10


def test_quarantined_snapshot_is_kept_under_another_name(tmp_path: Path) -> None:
    directory = StateDirectory(tmp_path)
    assert directory.lock() and directory.read() is None
    directory.write(b"one")
    directory.quarantine()
    assert directory.read() is None and (tmp_path / QUARANTINE_NAME).read_bytes() == b"one"
    with pytest.raises(FileNotFoundError):
        directory.quarantine()


def test_file_over_the_size_limit_is_not_read(tmp_path: Path) -> None:
    directory = StateDirectory(tmp_path)
    assert directory.lock()
    with (tmp_path / SNAPSHOT_NAME).open("wb") as file:
        file.truncate(MAX_DOCUMENT_BYTES * 2)
    with pytest.raises(SnapshotError, match="size"):
        directory.read()


def test_identity_file_that_is_not_text_is_accepted(tmp_path: Path) -> None:
    directory = StateDirectory(tmp_path)
    assert directory.lock()
    (tmp_path / IDENTITY_NAME).write_bytes(b"\xff\xfe" * 100)
    assert directory.id() == directory.id()
