"""Life of one relayed request: its attempts and the answer to its caller."""
