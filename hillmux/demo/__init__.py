"""A gateway with stand-ins on one machine: booking nodes, traffic, and a table of what came of it."""
