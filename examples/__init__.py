"""Example deployments and a demo."""
