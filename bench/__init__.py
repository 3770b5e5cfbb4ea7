"""bench."""
