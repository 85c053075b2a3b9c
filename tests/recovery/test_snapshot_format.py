"""Snapshot files: only a complete file of the same owner is accepted."""

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

IDENTITY = Identity("g1", "batumi", "p1", "m.1.2")
HEADER = SnapshotHeader(IDENTITY, "ab12", 3, 1e12, True)
DOCUMENTS = [{"t": "module", "x": [1.5, None, "é"]}, {"t": "hosts", "hosts": {"h\n1": [0.1, True]}}]


def encoded(header: SnapshotHeader = HEADER) -> bytes:
    builder = SnapshotBuilder()
    for document in DOCUMENTS:
        builder.add(document)
    return builder.encode(header)


def test_snapshot_round_trip() -> None:
    assert decode(encoded()) == Snapshot(HEADER, DOCUMENTS)
    check_usable(HEADER, IDENTITY, HEADER.taken_ms)


def test_truncated_file_is_rejected() -> None:
    complete = encoded()
    for length in range(len(complete)):
        with pytest.raises(SnapshotError):
            decode(complete[:length])
    with pytest.raises(SnapshotError):
        decode(complete + b"{}\n")


def test_file_with_any_flipped_bit_is_rejected() -> None:
    complete = encoded()
    for bit in range(8 * len(complete)):
        corrupt = bytearray(complete)
        corrupt[bit // 8] ^= 1 << bit % 8
        with pytest.raises(SnapshotError):
            decode(bytes(corrupt))


def test_mixture_of_two_snapshots_is_rejected() -> None:
    one, two = encoded(), encoded(dataclasses.replace(HEADER, serial=4))
    with pytest.raises(SnapshotError):
        decode(one[: len(one) // 2] + two[len(two) // 2 :] + b"x")
    header_line, _, _ = one.partition(b"\n")
    other = SnapshotBuilder()
    other.add({"t": "module", "x": [1.5, None, "e"]})
    with pytest.raises(SnapshotError):
        decode(header_line + b"\n" + other.encode(HEADER).partition(b"\n")[2])


def test_bytes_that_are_not_a_snapshot_are_rejected() -> None:
    rng = random.Random(7)
    for _ in range(500):
        with pytest.raises(SnapshotError):
            decode(rng.randbytes(rng.randrange(200)))
    for start in (b"HMSNAP1", b"HMSNAP1 ", b"HMSNAP2 x {}\n", b"\n", b""):
        with pytest.raises(SnapshotError):
            decode(start)


@pytest.mark.parametrize(
    ("changes", "field"),
    [({"name": "g2"}, "name"), ({"fleet": "poti"}, "fleet"), ({"plans": "p2"}, "plans"),
     ({"folder": "m.1.3"}, "folder")],
)  # fmt: skip
def test_error_names_the_field_in_which_the_owner_differs(changes: dict[str, str], field: str) -> None:
    with pytest.raises(SnapshotError, match=f"^{field}: found .*, expected"):
        check_usable(HEADER, dataclasses.replace(IDENTITY, **changes), HEADER.taken_ms)


def test_snapshot_from_the_future_is_rejected() -> None:
    check_usable(HEADER, IDENTITY, HEADER.taken_ms - MAX_CLOCK_SKEW_MS)
    with pytest.raises(SnapshotError, match="taken_ms"):
        check_usable(HEADER, IDENTITY, HEADER.taken_ms - MAX_CLOCK_SKEW_MS - 1)


def test_documents_beyond_the_size_limit_are_omitted() -> None:
    builder = SnapshotBuilder(max_bytes=200)
    for number in range(100):
        builder.add({"t": "customers", "n": number})
    documents = decode(builder.encode(HEADER)).documents
    assert builder.omitted_documents == 100 - len(documents) and documents[0] == {"t": "customers", "n": 0}
    assert len(builder.encode(HEADER).partition(b"\n")[2]) <= 200


def test_copied_directory_has_another_identity(tmp_path: Path) -> None:
    import shutil

    from hillmux.recovery.snapshot_store import StateDirectory

    first = StateDirectory(tmp_path / "a")
    assert first.lock()
    identity = first.id()
    assert first.id() == identity
    shutil.copytree(tmp_path / "a", tmp_path / "b")
    assert StateDirectory(tmp_path / "b").id() != identity


def test_snapshot_commands_describe_a_snapshot_and_report_faults(tmp_path: Path) -> None:
    from click.testing import CliRunner

    from hillmux.cli import main

    good, bad = tmp_path / "good", tmp_path / "bad"
    good.write_bytes(encoded(dataclasses.replace(HEADER, exact=False)))
    bad.write_bytes(encoded()[:-3])
    shown = CliRunner().invoke(main, ["snapshot", "inspect", str(good)])
    assert shown.exit_code == 0 and "g1, fleet batumi" in shown.output and "went on after it" in shown.output
    (ceiling,) = [line for line in shown.output.splitlines() if line.startswith("ceiling")]
    assert "not at all" in ceiling
    verified = CliRunner().invoke(main, ["snapshot", "verify", str(good), str(bad), str(tmp_path / "none")])
    assert verified.exit_code == 1 and f"{good}: whole" in verified.output
    assert "bad: size: found" in verified.output and "none: cannot be read" in verified.output
    assert CliRunner().invoke(main, ["snapshot", "inspect", str(bad)]).exit_code == 1
