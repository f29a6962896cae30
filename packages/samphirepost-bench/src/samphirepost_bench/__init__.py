"""Stand-ins, load and experiments for samphirepost."""
