"""Behaviours of scripted hosts: each maps any request to the same response."""

from __future__ import annotations

from conftest import Seen, reply


def serve(seen: Seen) -> bytes:
    return reply(b"served")


def silent(seen: Seen) -> None:
    return None


def reset(seen: Seen) -> bytes:
    return b""
