"""Retries: which are allowed, and out of which budget."""
