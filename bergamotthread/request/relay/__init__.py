"""Relaying of one request: its attempts and the response to its caller."""
