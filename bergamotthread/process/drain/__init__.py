"""Planned stops: who may stop when, and what still holds a process."""
