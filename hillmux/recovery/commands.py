"""`hillmux snapshot`: commands that verify and describe snapshot files."""

from __future__ import annotations

import datetime
import sys
from pathlib import Path

import click

from hillmux.hot_restart import state_codec
from hillmux.recovery.retention import FOREVER, RETENTION_RULES, RetentionRule
from hillmux.recovery.snapshot_format import Snapshot, SnapshotError, SnapshotHeader, decode

EXIT_INVALID = 1


@click.group()
def snapshot() -> None:
    """Look at snapshots: what they say, and what of it would be believed now."""


@snapshot.command(epilog="Example: hillmux snapshot verify /var/lib/hillmux/g1/snapshot")
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path), metavar="FILE...")
def verify(files: tuple[Path, ...]) -> None:
    """Tell of each file whether it is whole; exit 1 where one is not."""
    status = 0
    for path in files:
        try:
            read_snapshot(path)
        except SnapshotError as error:
            click.echo(f"{path}: {error}", err=True)
            status = EXIT_INVALID
        else:
            click.echo(f"{path}: whole")
    sys.exit(status)


@snapshot.command(epilog="Example: hillmux snapshot inspect /var/lib/hillmux/g1/snapshot")
@click.argument("path", type=click.Path(path_type=Path), metavar="FILE")
def inspect(path: Path) -> None:
    """Print whose it is, when it was taken, what it holds, and until when each item may be believed."""
    try:
        contents = read_snapshot(path)
    except SnapshotError as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(EXIT_INVALID)
    for line in describe(contents):
        click.echo(line)


def read_snapshot(path: Path) -> Snapshot:
    """Read and decode a snapshot file.

    Raises:
        SnapshotError: The file cannot be read, or is not a snapshot.
    """
    try:
        return decode(path.read_bytes())
    except OSError as error:
        raise SnapshotError(f"cannot be read: {error.strerror}") from None


def describe(contents: Snapshot) -> list[str]:
    """Describe a snapshot in lines of text for operators."""
    header, owner = contents.header, contents.header.owner
    end = "exact: nothing was decided after it" if header.exact else "a process went on after it"
    return [
        f"gateway    {owner.name}, fleet {owner.fleet or '(none named)'}, plans {owner.plans}",
        f"written    {_utc(header.taken_ms)} by {header.incarnation}, its number {header.serial}",
        f"end        {end}",
        f"holds      {_count(contents, state_codec.HOSTS, 'hosts')} hosts,"
        f" {_count(contents, state_codec.CUSTOMERS, 'uses')} customers",
        "",
        f"{'item':<16}{'believed until':<24}guards against",
        *(f"{rule.name:<16}{_retained_until(rule, header):<24}{rule.risk}" for rule in RETENTION_RULES),
    ]


def _count(contents: Snapshot, kind: str, field: str) -> int:
    return sum(len(document[field]) for document in contents.documents if document.get("t") == kind)


def _retained_until(rule: RetentionRule, header: SnapshotHeader) -> str:
    retention_ms = rule.after_clean_exit_ms if header.exact else rule.after_crash_ms
    if retention_ms == FOREVER:
        return "always"
    return _utc(header.taken_ms + retention_ms) if retention_ms else "not at all"


def _utc(time_ms: float) -> str:
    return datetime.datetime.fromtimestamp(time_ms / 1000, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S") + "Z"
