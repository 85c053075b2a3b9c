"""The demonstration: a gateway, stand-in hosts and traffic on one machine, with a table of the results."""
