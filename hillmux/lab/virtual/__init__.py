"""The lab in virtual time: the decision modules on a deterministic loop, with modelled hosts and network."""
