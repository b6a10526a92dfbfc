"""Membership of processes, from gossip, probes and the host list."""
