"""The gateway's network side: sockets and protocols around the decision module."""
