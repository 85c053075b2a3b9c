"""Counting windows: their length, their start for each customer, and the names of their counts.

The shared counter adds up what all gateways use of a customer's quota, under one name per window. All
gateways must derive the same names, even while two versions run side by side, so the names must never change.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from typing import Final

from hillmux import interface as api

# Length of a window in units of `burst / rate`; unused units from before it are not lent out later.
BURSTS_PER_WINDOW: Final = 2.0
MAX_RETENTION_MS: Final = 60000.0  # longest retention of a count that is requested from the counter
PHASES: Final = 65536  # number of possible window offsets, evenly spread over a window


def length_ms(plan: api.Plan) -> float:
    """Return the length of a plan's windows in ms; 0 for a plan without a quota."""
    if plan.rate <= 0:
        return 0.0
    return min(max(BURSTS_PER_WINDOW * 1000.0 * plan.burst / plan.rate, 1.0), MAX_RETENTION_MS / 2)


def retention_ms(length: float) -> float:
    """Return how long the counter keeps the count of a window of this length; both in ms."""
    return min(2 * length, MAX_RETENTION_MS)


def digest(customer: str) -> bytes:
    """Return an 8-byte hash of a customer's name."""
    return hashlib.blake2s(customer.encode(), digest_size=8).digest()


def phase(customer_digest: bytes) -> float:
    """Return the offset of a customer's windows as a fraction of a window, from 0 to below 1.

    Without offsets all gateways would call the counter for all customers at the same time.
    """
    return (customer_digest[0] << 8 | customer_digest[1]) / PHASES


def plan_tags(plans: Sequence[api.Plan]) -> dict[str, str]:
    """Return by plan a suffix for names of counts; empty if no other plan has windows of its length."""
    lengths = [length_ms(plan) for plan in plans]
    return {plan.name: f".{i}" if lengths.count(lengths[i]) > 1 else "" for i, plan in enumerate(plans)}


def count_name(customer_digest: bytes, tag: str, number: int) -> str:
    """Return the name under which the counter adds up a customer's use in the window with this number."""
    return f"{customer_digest.hex()}{tag}.{number}"
