"""Admission control: request classes, slots, queues, workspace rate limits and refusals."""
