"""Orders to engines: from the lease of a region and its fencing number."""
