"""Logs, metrics and the time line of events."""
