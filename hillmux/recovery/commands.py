"""`hillmux snapshot`: looking at what a gateway left behind."""

from __future__ import annotations

import datetime
import sys
from collections import Counter
from pathlib import Path

import click

from hillmux.hot_restart import state_codec as state
from hillmux.recovery.retention import FOREVER, RETENTION_RULES, RetentionRule
from hillmux.recovery.snapshot_format import Snapshot, SnapshotError, decode

EXIT_INVALID = 1


@click.group()
def snapshot() -> None:
    """Look at snapshots: what they say, and what of it would be believed now."""


@snapshot.command(epilog="Example: hillmux snapshot verify /var/lib/hillmux/g1/snapshot")
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path), metavar="FILE...")
def verify(files: tuple[Path, ...]) -> None:
    """Tell of each file whether it is whole; exit 1 where one is not."""
    wrong = 0
    for path in files:
        try:
            read(path)
        except SnapshotError as error:
            click.echo(f"{path}: {error}", err=True)
            wrong = EXIT_INVALID
        else:
            click.echo(f"{path}: whole")
    sys.exit(wrong)


@snapshot.command(epilog="Example: hillmux snapshot inspect /var/lib/hillmux/g1/snapshot")
@click.argument("path", type=click.Path(path_type=Path), metavar="FILE")
def inspect(path: Path) -> None:
    """Print whose it is, when it was taken, what it holds, and until when each item may be believed."""
    try:
        found = read(path)
    except SnapshotError as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(EXIT_INVALID)
    for line in describe(found):
        click.echo(line)


def read(path: Path) -> Snapshot:
    """A file as a snapshot; SnapshotError also where it can't be read."""
    try:
        return decode(path.read_bytes())
    except OSError as error:
        raise SnapshotError(f"cannot be read: {error.strerror}") from None


def describe(found: Snapshot) -> list[str]:
    """A snapshot as lines for people."""
    head, sizes = found.header, Counter[str]()
    for document in found.documents:
        sizes["hosts"] += len(document["hosts"]) if document.get("t") == state.HOSTS else 0
        sizes["customers"] += len(document["uses"]) if document.get("t") == state.CUSTOMERS else 0
    lines = [
        f"gateway    {head.owner.name}, fleet {head.owner.fleet or '(none named)'}, plans {head.owner.plans}",
        f"written    {_moment(head.taken_ms)} by {head.incarnation}, its number {head.serial}",
        f"end        {'exact: nothing was decided after it' if head.exact else 'a process went on after it'}",
        f"holds      {sizes['hosts']} hosts, {sizes['customers']} customers",
        "",
        f"{'item':<16}{'believed until':<24}guards against",
    ]
    return lines + [
        f"{i.name:<16}{_until(i, head.taken_ms, head.exact):<24}{i.risk}" for i in RETENTION_RULES
    ]


def _until(item: RetentionRule, taken_ms: float, exact: bool) -> str:
    lasts = item.after_clean_exit_ms if exact else item.after_crash_ms
    if lasts == FOREVER:
        return "always"
    return _moment(taken_ms + lasts) if lasts else "not at all"


def _moment(at_ms: float) -> str:
    return datetime.datetime.fromtimestamp(at_ms / 1000, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S") + "Z"
