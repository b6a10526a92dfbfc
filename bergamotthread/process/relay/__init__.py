"""Decisions of an entry that calls upstreams directly.

They cover the choice of an upstream, the retry budget, the detection of lost
upstreams and the drain of the process. None of the decisions needs a network.
"""
