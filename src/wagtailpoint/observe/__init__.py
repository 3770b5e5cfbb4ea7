"""Observability: log lines, metrics, and the timeline of all processes with its clock."""
