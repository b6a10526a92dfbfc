"""Planned stops of hosts: their schedule, and drains of processes."""
