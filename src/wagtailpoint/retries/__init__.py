"""Retries: the decision on a retry, and the retry budget of a service."""
