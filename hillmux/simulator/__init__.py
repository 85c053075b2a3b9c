"""The gateway behind the simulator's wire, on standard input and output."""
