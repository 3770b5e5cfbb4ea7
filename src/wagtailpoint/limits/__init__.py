"""Leases of objects of the platform."""
