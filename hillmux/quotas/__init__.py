"""Quotas and ceilings: tracks each customer's use and decides when to call the shared counter.

The decision module calls `quotas.Quotas`; each of the other modules implements one part of it.
Performs no I/O. Times are in milliseconds on the decision module's clock, amounts in quota units.
"""
