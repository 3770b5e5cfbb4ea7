"""Benches of single parts of the system, and the soak."""
