"""Generations from admission to their end.

Decides on attempts, losses and quarantine from the output and the deaths that
are seen.
"""
