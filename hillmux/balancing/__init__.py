"""What a gateway knows of the hosts, and the choice among them. Free of I/O."""
