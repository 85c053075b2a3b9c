"""Counting windows: how long one is, where it starts for a customer, and the name of its count.

The shared counter adds up what all gateways use of a customer's quota, under one name for each window. All
gateways must derive the same names, also while two versions run side by side, so the names never change.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from typing import Final

from hillmux import interface as api

BURSTS_PER_WINDOW: Final = (
    2.0  # length of a window in burst / rate; older unused units are not lent out later
)
MAX_RETENTION_MS: Final = 60000.0  # longest time for which the counter is asked to keep a count
PHASES: Final = 65536  # possible starts of a customer's windows, as fractions of a window


def length_ms(plan: api.Plan) -> float:
    """The length of a plan's windows in ms; 0 for a plan without a quota."""
    if plan.rate <= 0:
        return 0.0
    return min(max(BURSTS_PER_WINDOW * 1000.0 * plan.burst / plan.rate, 1.0), MAX_RETENTION_MS / 2)


def retention_ms(length: float) -> float:
    """How long the counter is to keep the count of a window of this length; both in ms."""
    return min(2 * length, MAX_RETENTION_MS)


def digest(customer: str) -> bytes:
    """Eight evenly spread bytes that stand for a customer's name."""
    return hashlib.blake2s(customer.encode(), digest_size=8).digest()


def phase(customer_digest: bytes) -> float:
    """Where a customer's windows start, as a fraction of a window: not all customers' at once.

    Without it all gateways would call the counter for all customers at the same moments.
    """
    return (customer_digest[0] << 8 | customer_digest[1]) / PHASES


def plan_tags(plans: Sequence[api.Plan]) -> dict[str, str]:
    """By plan, what tells its counts from those of other plans; empty where the window's length does."""
    lengths = [length_ms(plan) for plan in plans]
    return {plan.name: f".{i}" if lengths.count(lengths[i]) > 1 else "" for i, plan in enumerate(plans)}


def count_name(customer_digest: bytes, tag: str, number: int) -> str:
    """The name under which the counter adds up a customer's use in the window of this number."""
    return f"{customer_digest.hex()}{tag}.{number}"
