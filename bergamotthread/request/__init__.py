"""Handling of single requests, calls and generations."""
