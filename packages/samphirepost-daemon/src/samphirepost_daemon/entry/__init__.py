"""The daemon of an entry VM whose state lies in the platform's store."""
