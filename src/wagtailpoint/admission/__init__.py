"""Admission of requests: classes, queues and refusals."""
