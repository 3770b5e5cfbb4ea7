"""examples."""
