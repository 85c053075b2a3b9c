"""A snapshot's bytes: whole and ours, or nothing of it is believed."""

from __future__ import annotations

import dataclasses
import random
from pathlib import Path

import pytest

from hillmux.recovery.snapshot_format import (
    MAX_CLOCK_SKEW_MS,
    Identity,
    Snapshot,
    SnapshotBuilder,
    SnapshotError,
    SnapshotHeader,
    check_usable,
    decode,
)

ME = Identity("g1", "batumi", "p1", "m.1.2")
HEAD = SnapshotHeader(ME, "ab12", 3, 1e12, True)
DOCUMENTS = [{"t": "module", "x": [1.5, None, "é"]}, {"t": "hosts", "hosts": {"h\n1": [0.1, True]}}]


def data(head: SnapshotHeader = HEAD) -> bytes:
    builder = SnapshotBuilder()
    for document in DOCUMENTS:
        builder.add(document)
    return builder.encode(head)


def test_snapshot_round_trip() -> None:
    assert decode(data()) == Snapshot(HEAD, DOCUMENTS)
    check_usable(HEAD, ME, HEAD.taken_ms)


def test_truncated_file_is_rejected() -> None:
    whole = data()
    for length in range(len(whole)):
        with pytest.raises(SnapshotError):
            decode(whole[:length])
    with pytest.raises(SnapshotError):
        decode(whole + b"{}\n")


def test_file_with_any_flipped_bit_is_rejected() -> None:
    whole = data()
    for at in range(8 * len(whole)):
        torn = bytearray(whole)
        torn[at // 8] ^= 1 << at % 8
        with pytest.raises(SnapshotError):
            decode(bytes(torn))


def test_mixture_of_two_snapshots_is_rejected() -> None:
    one, two = data(), data(dataclasses.replace(HEAD, serial=4))
    with pytest.raises(SnapshotError):
        decode(one[: len(one) // 2] + two[len(two) // 2 :] + b"x")
    head, _, _ = one.partition(b"\n")
    other = SnapshotBuilder()
    other.add({"t": "module", "x": [1.5, None, "e"]})
    with pytest.raises(SnapshotError):
        decode(head + b"\n" + other.encode(HEAD).partition(b"\n")[2])


def test_bytes_that_are_no_snapshot_are_rejected() -> None:
    draw = random.Random(7)
    for _ in range(500):
        with pytest.raises(SnapshotError):
            decode(draw.randbytes(draw.randrange(200)))
    for start in (b"HMSNAP1", b"HMSNAP1 ", b"HMSNAP2 x {}\n", b"\n", b""):
        with pytest.raises(SnapshotError):
            decode(start)


@pytest.mark.parametrize(
    ("changes", "named"),
    [({"name": "g2"}, "name"), ({"fleet": "poti"}, "fleet"), ({"plans": "p2"}, "plans"),
     ({"folder": "m.1.3"}, "folder")],
)  # fmt: skip
def test_error_names_the_field_in_which_the_owner_differs(changes: dict[str, str], named: str) -> None:
    with pytest.raises(SnapshotError, match=f"^{named}: found .*, expected"):
        check_usable(HEAD, dataclasses.replace(ME, **changes), HEAD.taken_ms)


def test_snapshot_from_the_future_is_rejected() -> None:
    check_usable(HEAD, ME, HEAD.taken_ms - MAX_CLOCK_SKEW_MS)
    with pytest.raises(SnapshotError, match="taken_ms"):
        check_usable(HEAD, ME, HEAD.taken_ms - MAX_CLOCK_SKEW_MS - 1)


def test_documents_beyond_the_size_limit_are_omitted() -> None:
    builder = SnapshotBuilder(max_bytes=200)
    for number in range(100):
        builder.add({"t": "customers", "n": number})
    found = decode(builder.encode(HEAD)).documents
    assert builder.omitted_documents == 100 - len(found) and found[0] == {"t": "customers", "n": 0}
    assert len(builder.encode(HEAD).partition(b"\n")[2]) <= 200


def test_copied_directory_has_another_identity(tmp_path: Path) -> None:
    import shutil

    from hillmux.recovery.snapshot_store import StateDirectory

    first = StateDirectory(tmp_path / "a")
    assert first.lock()
    mine = first.id()
    assert first.id() == mine  # and stays the same
    shutil.copytree(tmp_path / "a", tmp_path / "b")
    assert StateDirectory(tmp_path / "b").id() != mine


def test_snapshot_commands_describe_a_snapshot_and_report_faults(tmp_path: Path) -> None:
    from click.testing import CliRunner

    from hillmux.cli import main

    good, bad = tmp_path / "good", tmp_path / "bad"
    good.write_bytes(data(dataclasses.replace(HEAD, exact=False)))
    bad.write_bytes(data()[:-3])
    shown = CliRunner().invoke(main, ["snapshot", "inspect", str(good)])
    assert shown.exit_code == 0 and "g1, fleet batumi" in shown.output and "went on after it" in shown.output
    (ceiling,) = [line for line in shown.output.splitlines() if line.startswith("ceiling")]
    assert "not at all" in ceiling
    told = CliRunner().invoke(main, ["snapshot", "verify", str(good), str(bad), str(tmp_path / "none")])
    assert told.exit_code == 1 and f"{good}: whole" in told.output
    assert "bad: size: found" in told.output and "none: cannot be read" in told.output
    assert CliRunner().invoke(main, ["snapshot", "inspect", str(bad)]).exit_code == 1
