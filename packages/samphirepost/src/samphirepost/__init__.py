"""Values, errors, settings, tables and decisions, without network I/O."""
