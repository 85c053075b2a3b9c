"""A second version of a gateway takes over from the first while both run."""
