"""Emulators, load generation and experiments for samphirepost."""
