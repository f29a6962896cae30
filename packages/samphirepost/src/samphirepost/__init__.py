"""Values, errors, settings, tables and decisions; no input or output."""
