"""Admission of requests: classes, slots, queues, rates of workspaces, and refusals."""
