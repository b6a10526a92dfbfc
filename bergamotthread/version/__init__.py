"""Publication, validation and distribution of configuration versions."""
