"""What lives for one published version of the configuration."""
