"""The adapter: the platform's names, formats and calls, and no decisions."""
