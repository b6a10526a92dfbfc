"""Assertions and virtual time for tests."""
