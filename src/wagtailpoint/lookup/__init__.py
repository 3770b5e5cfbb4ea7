"""Answers to callers' lookups: the entry instances that a caller may use."""
