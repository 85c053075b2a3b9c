"""Quotas and ceilings: what is known of each customer's use, and how the counter is asked."""
