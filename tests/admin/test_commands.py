"""Operators' commands without a socket: parsing, answers, metrics and the file of disabled hosts."""

from __future__ import annotations

import fcntl
import json
from pathlib import Path

import pytest

from hillmux.admin.commands import respond
from hillmux.admin.host_overrides import (
    FILE_NAME,
    MAX_DISABLED,
    KnownHosts,
    OverrideFile,
    OverrideFileError,
    rejection_reason,
)
from hillmux.admin.metrics import MAX_CLASSES, Metrics


class Gateway:
    """A stand-in with a configurable readiness, phase and reason for rejecting commands."""

    def __init__(self, ready: bool = True, rejection: str = "") -> None:
        self.is_ready, self.rejection, self.phase_text = ready, rejection, ""
        self.calls: list[tuple[str, bool]] = []

    def ready(self) -> bool:
        return self.is_ready

    def phase(self) -> str:
        return self.phase_text

    def metrics_by_name(self) -> dict[str, object]:
        return {"loads": 1}

    def override_host(self, host: str, disabled: bool) -> str:
        self.calls.append((host, disabled))
        return self.rejection


def test_each_command_has_its_answer() -> None:
    gateway = Gateway()
    assert respond(b"check", gateway) == b"ACK\n"
    gateway.phase_text = "learning: 3 of 20 outcomes seen"
    assert respond(b"check", gateway) == b"ACK learning: 3 of 20 outcomes seen\n"
    assert respond(b"vars", gateway) == b'{"loads":1}\n--\n'
    assert respond(b"set-down s-1", gateway) == b"ACK\n"
    assert respond(b"set-up s-1", gateway) == b"ACK\n"
    assert gateway.calls == [("s-1", True), ("s-1", False)]
    assert respond(b"check", Gateway(ready=False)).startswith(b"NAK ")
    assert respond(b"set-down s-1", Gateway(rejection="s-1: who?")) == b"NAK s-1: who?\n"


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"stop",
        b"check now",
        b"set-down",
        b"set-down a b",
        b"set-up \x01",
        b"\xff\xfe",
        b"SET-DOWN s-1",
        b"set-down " + b"x" * 300,
        b"vars\tx",
    ],
)
def test_invalid_command_is_rejected_and_changes_nothing(line: bytes) -> None:
    gateway = Gateway()
    answer = respond(line, gateway)
    assert answer.startswith(b"NAK ") and answer.count(b"\n") == 1
    assert gateway.calls == []


def test_metrics_count_by_class_and_bound_the_number_of_classes() -> None:
    metrics = Metrics()
    for status in (200, 204, 429, 503, 502, 504, 409):
        metrics.count_answer("read", status)
    metrics.count_attempt("read")
    by_name = metrics.to_dict(["read", "put"], 3, 10, 2)
    assert by_name["passed"] == {"read": 2, "put": 0}
    assert by_name["dropped"] == {"read": 2, "put": 0}
    assert by_name["bad_gateway"] == {"read": 3, "put": 0}
    assert (by_name["upstream_tries"], by_name["in_progress"], by_name["known_hosts"]) == (1, 3, 10)
    for i in range(2 * MAX_CLASSES):
        metrics.count_answer(f"c{i}", 200)
        metrics.count_attempt(f"c{i}")
    assert len(metrics.served) == len(metrics.attempts) == MAX_CLASSES


def test_only_known_hosts_can_be_disabled_up_to_a_limit() -> None:
    known = KnownHosts()
    known.add(["s-1"])
    assert rejection_reason("s-1", True, known, set()) == ""
    assert "never named" in rejection_reason("s-2", True, known, set())
    # A host that was disabled before this process received the list can be enabled.
    assert rejection_reason("s-2", False, known, {"s-2"}) == ""
    max_disabled = {f"x{i}" for i in range(MAX_DISABLED)}
    assert "out already" in rejection_reason("s-1", True, known, max_disabled)
    assert (
        rejection_reason("x1", True, known, max_disabled)
        == rejection_reason("x1", False, known, max_disabled)
        == ""
    )


def test_processes_see_each_others_overrides(tmp_path: Path) -> None:
    old, new = OverrideFile(str(tmp_path)), OverrideFile(str(tmp_path))
    assert old.refresh() is None
    old.set_disabled("a", True)
    assert new.refresh() == {"a"} and new.refresh() is None
    new.set_disabled("b", True)
    new.set_disabled("a", False)
    assert old.refresh() == {"b"}
    assert OverrideFile(str(tmp_path)).refresh() == {"b"}  # also a process that starts later


def test_unusable_override_file_changes_nothing(tmp_path: Path) -> None:
    file = OverrideFile(str(tmp_path))
    file.set_disabled("a", True)
    (tmp_path / FILE_NAME).write_text('{"out": 3}')
    assert file.refresh() is None and file.disabled == {"a"}
    with pytest.raises(OverrideFileError, match="out: must be a list"):
        file.set_disabled("b", True)
    with pytest.raises(OverrideFileError):
        OverrideFile(str(tmp_path / "missing")).set_disabled("b", True)
    assert file.disabled == {"a"}


def test_stopped_process_that_holds_the_lock_does_not_block_others(tmp_path: Path) -> None:
    file = OverrideFile(str(tmp_path))
    with open(tmp_path / f"{FILE_NAME}.lock", "w") as lock_file:
        fcntl.flock(lock_file, fcntl.LOCK_EX)
        with pytest.raises(OverrideFileError):
            file.set_disabled("a", True)
        assert file.disabled == set() and not (tmp_path / FILE_NAME).exists()
    file.set_disabled("a", True)
    assert file.disabled == {"a"}


def test_without_a_directory_overrides_hold_in_this_process_only() -> None:
    file = OverrideFile(None)
    file.set_disabled("a", True)
    assert file.disabled == {"a"} and file.refresh() is None


def test_override_file_is_plain_json(tmp_path: Path) -> None:
    OverrideFile(str(tmp_path)).set_disabled("a", True)
    assert json.loads((tmp_path / FILE_NAME).read_text()) == {"version": 1, "out": ["a"]}
