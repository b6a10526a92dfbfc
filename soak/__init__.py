"""Randomized fault soak of the real programs, on one machine."""
