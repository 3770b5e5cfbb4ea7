"""cover."""
