"""tests."""
