"""The samphirepost command line."""
