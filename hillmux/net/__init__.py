"""The gateway on real sockets: everything round the decision module."""
