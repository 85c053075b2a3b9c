"""The lab in virtual time: decision modules on a deterministic loop, with models of hosts and network."""
