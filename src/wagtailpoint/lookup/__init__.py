"""Answers to callers that ask which entry instance to use."""
