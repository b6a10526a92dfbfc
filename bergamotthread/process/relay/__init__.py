"""Decisions of an entry that calls upstreams directly.

They cover the choice of an upstream, the retry budget, the detection of lost
upstreams and the drain of the process. Apart from `servers`, which listens
for callers, no module opens connections: probes are sent by a function that is
passed in.
"""
