"""Connections between processes, and servers and clients on them."""
