"""Quotas and ceilings: what is known of each customer's use, and when the shared counter is called.

`quotas.Quotas` is what the decision module calls; the other modules hold one part of its work each.
Free of I/O; times in milliseconds on the module's clock, amounts in quota units.
"""
