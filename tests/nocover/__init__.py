"""nocover."""
