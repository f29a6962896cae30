"""The `samphirepost` command-line client for callers and operators."""
