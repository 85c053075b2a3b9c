"""The operators' calls without a socket: what a line asks for, and every answer."""

from __future__ import annotations

import fcntl
import json
from pathlib import Path

import pytest

from hillmux.admin.commands import answer
from hillmux.admin.host_overrides import MOST_OUT, NAME, HandError, HandFile, Listed, refused
from hillmux.admin.metrics import MOST_CLASSES, Figures


class Gateway:
    """A gateway that says what it is told to."""

    def __init__(self, ready: bool = True, wrong: str = "") -> None:
        self.is_ready, self.wrong, self.how_far = ready, wrong, ""
        self.calls: list[tuple[str, bool]] = []

    def ready(self) -> bool:
        return self.is_ready

    def phase(self) -> str:
        return self.how_far

    def figures(self) -> dict[str, object]:
        return {"loads": 1}

    def hand(self, host: str, out: bool) -> str:
        self.calls.append((host, out))
        return self.wrong


def test_each_call_has_its_answer() -> None:
    gateway = Gateway()
    assert answer(b"check", gateway) == b"ACK\n"
    gateway.how_far = "learning: 3 of 20 outcomes seen"
    assert answer(b"check", gateway) == b"ACK learning: 3 of 20 outcomes seen\n"
    assert answer(b"vars", gateway) == b'{"loads":1}\n--\n'
    assert answer(b"set-down s-1", gateway) == b"ACK\n"
    assert answer(b"set-up s-1", gateway) == b"ACK\n"
    assert gateway.calls == [("s-1", True), ("s-1", False)]
    assert answer(b"check", Gateway(ready=False)).startswith(b"NAK ")
    assert answer(b"set-down s-1", Gateway(wrong="s-1: who?")) == b"NAK s-1: who?\n"


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
def test_what_is_no_call_is_told_so_and_changes_nothing(line: bytes) -> None:
    gateway = Gateway()
    said = answer(line, gateway)
    assert said.startswith(b"NAK ") and said.count(b"\n") == 1
    assert gateway.calls == []


def test_figures_count_by_class_and_names_are_bounded() -> None:
    figures = Figures()
    for status in (200, 204, 429, 503, 502, 504, 409):
        figures.answered("read", status)
    figures.tried("read")
    shown = figures.shown(["read", "put"], 3, 10, 2)
    assert shown["passed"] == {"read": 2, "put": 0}
    assert shown["dropped"] == {"read": 2, "put": 0}
    assert shown["bad_gateway"] == {"read": 3, "put": 0}
    assert (shown["upstream_tries"], shown["in_progress"], shown["known_hosts"]) == (1, 3, 10)
    for i in range(2 * MOST_CLASSES):
        figures.answered(f"c{i}", 200)
        figures.tried(f"c{i}")
    assert len(figures.passed) == len(figures.tries) == MOST_CLASSES


def test_only_listed_hosts_go_out_and_a_bound_holds() -> None:
    listed = Listed()
    listed.add(["s-1"])
    assert refused("s-1", True, listed, set()) == ""
    assert "never named" in refused("s-2", True, listed, set())
    assert refused("s-2", False, listed, {"s-2"}) == ""  # it was out before this process knew the list
    full = {f"x{i}" for i in range(MOST_OUT)}
    assert "out already" in refused("s-1", True, listed, full)
    assert refused("x1", True, listed, full) == refused("x1", False, listed, full) == ""


def test_two_processes_see_each_others_calls(tmp_path: Path) -> None:
    old, new = HandFile(str(tmp_path)), HandFile(str(tmp_path))
    assert old.refresh() is None
    old.change("a", True)
    assert new.refresh() == {"a"} and new.refresh() is None
    new.change("b", True)
    new.change("a", False)
    assert old.refresh() == {"b"}
    assert HandFile(str(tmp_path)).refresh() == {"b"}  # a later version, too


def test_a_file_that_cannot_be_used_changes_nothing(tmp_path: Path) -> None:
    file = HandFile(str(tmp_path))
    file.change("a", True)
    (tmp_path / NAME).write_text('{"out": 3}')
    assert file.refresh() is None and file.out == {"a"}
    with pytest.raises(HandError, match="out: must be a list"):
        file.change("b", True)
    with pytest.raises(HandError):
        HandFile(str(tmp_path / "missing")).change("b", True)
    assert file.out == {"a"}


def test_a_process_that_stands_with_the_lock_holds_up_nobody(tmp_path: Path) -> None:
    file = HandFile(str(tmp_path))
    with open(tmp_path / f"{NAME}.lock", "w") as held:
        fcntl.flock(held, fcntl.LOCK_EX)
        with pytest.raises(HandError):
            file.change("a", True)
        assert file.out == set() and not (tmp_path / NAME).exists()
    file.change("a", True)
    assert file.out == {"a"}


def test_without_a_folder_hosts_are_out_in_this_process() -> None:
    file = HandFile(None)
    file.change("a", True)
    assert file.out == {"a"} and file.refresh() is None


def test_the_file_is_plain_json(tmp_path: Path) -> None:
    HandFile(str(tmp_path)).change("a", True)
    assert json.loads((tmp_path / NAME).read_text()) == {"version": 1, "out": ["a"]}
