"""What lives for one connection between processes."""
