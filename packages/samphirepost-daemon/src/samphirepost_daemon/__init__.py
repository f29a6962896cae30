"""The samphirepost daemon."""
