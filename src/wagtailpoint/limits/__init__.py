"""Limits that several instances spend together: seats, shares and slot permits."""
