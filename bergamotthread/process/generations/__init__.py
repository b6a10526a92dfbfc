"""Life cycle of generations, from admission to their end.

Starts attempts, detects losses and quarantines requests, based on the output
that arrives and the upstreams that die.
"""
