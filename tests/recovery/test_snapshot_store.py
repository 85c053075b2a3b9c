"""The folder of snapshots: one process at a time, and whole files wherever a process stops."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from hillmux.recovery import snapshot_store as module
from hillmux.recovery.snapshot_format import MAX_DOCUMENT_BYTES, SnapshotError
from hillmux.recovery.snapshot_store import IDENTITY_NAME, SET_ASIDE_NAME, SNAPSHOT_NAME, StateDirectory

ROOT = Path(__file__).resolve().parents[2]
HOLD = """
import sys, time
from pathlib import Path
from hillmux.recovery.snapshot_store import StateDirectory
print(StateDirectory(Path(sys.argv[1])).lock(), flush=True)
time.sleep(60)
"""
WRITES = """
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


def test_directory_is_locked_until_its_process_is_dead(tmp_path: Path) -> None:
    hold = [sys.executable, "-c", HOLD, str(tmp_path)]
    with subprocess.Popen(hold, cwd=ROOT, stdout=subprocess.PIPE) as other:
        assert other.stdout is not None and other.stdout.readline() == b"True\n"
        mine = StateDirectory(tmp_path)
        assert not mine.lock()
        other.send_signal(signal.SIGKILL)
        other.wait()
        assert mine.lock() and mine.lock()  # asked again it is still ours


def test_process_killed_during_a_write_leaves_the_old_or_the_new_file(tmp_path: Path) -> None:
    old, new = b"old" * 5000, b"new" * 5000
    seen, point = [], 0
    while True:
        path = tmp_path / str(point)
        before = StateDirectory(path)
        assert before.lock()
        before.write(old)
        before.close()
        done = subprocess.run([sys.executable, "-c", WRITES, str(path), str(point)], cwd=ROOT, check=False)
        after = StateDirectory(path)
        assert after.lock()
        seen.append(after.read())
        after.write(b"next")  # and the next one is not in the way of what was left
        assert after.read() == b"next"
        if done.returncode == 0:
            break
        assert done.returncode == 9
        point += 1
    assert set(seen) == {old, new} and seen[-1] == new and point >= 6
    assert seen == sorted(seen, key=lambda found: found == new)  # once the new one stands, it stays


@pytest.mark.parametrize("broken", ["write", "fsync", "replace"])
def test_failing_disk_leaves_the_last_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, broken: str
) -> None:
    mine = StateDirectory(tmp_path)
    assert mine.lock()
    mine.write(b"old")

    def fails(*args: object, **kwargs: object) -> None:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(module.os, broken, fails)
        with pytest.raises(OSError, match="No space"):
            mine.write(b"new")
    assert mine.read() == b"old"
    mine.write(b"newer")
    assert mine.read() == b"newer"


def test_short_writes_are_continued(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    mine, write = StateDirectory(tmp_path), os.write
    assert mine.lock()
    monkeypatch.setattr(module.os, "write", lambda file, data: write(file, data[:7]))
    mine.write(b"0123456789" * 10)
    assert mine.read() == b"0123456789" * 10


def test_set_aside_snapshot_is_kept_under_another_name(tmp_path: Path) -> None:
    mine = StateDirectory(tmp_path)
    assert mine.lock() and mine.read() is None
    mine.write(b"one")
    mine.set_aside()
    assert mine.read() is None and (tmp_path / SET_ASIDE_NAME).read_bytes() == b"one"
    with pytest.raises(FileNotFoundError):
        mine.set_aside()


def test_file_larger_than_any_written_is_not_read(tmp_path: Path) -> None:
    mine = StateDirectory(tmp_path)
    assert mine.lock()
    with (tmp_path / SNAPSHOT_NAME).open("wb") as file:
        file.truncate(MAX_DOCUMENT_BYTES * 2)
    with pytest.raises(SnapshotError, match="size"):
        mine.read()


def test_identity_file_that_is_not_text_is_accepted(tmp_path: Path) -> None:
    mine = StateDirectory(tmp_path)
    assert mine.lock()
    (tmp_path / IDENTITY_NAME).write_bytes(b"\xff\xfe" * 100)
    assert mine.id() == mine.id()
