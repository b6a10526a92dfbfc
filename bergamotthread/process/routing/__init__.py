"""Selection of the upstream for each attempt.

Based on load reports, own dispatches, cached prefixes and traffic cost.
"""
