"""Messages between processes."""
