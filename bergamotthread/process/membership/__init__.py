"""Who is there: told by gossip, probes and the list of hosts."""
