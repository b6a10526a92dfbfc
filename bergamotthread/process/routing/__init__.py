"""Where an attempt goes.

Decided from load reports, own dispatches, cached prefixes and price.
"""
