"""integration."""
