"""Calls that run at most once: decided from their rows and tickets."""
