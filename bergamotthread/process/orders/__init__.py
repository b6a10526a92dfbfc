"""Orders to engines, protected by the lease of a region and its fence."""
