"""Event loops, networks, platforms and services in memory, for tests."""
