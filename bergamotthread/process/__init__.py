"""Processes of the system: entries and agents, and their parts."""
