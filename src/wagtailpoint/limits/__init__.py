"""Limits that several instances spend together: leases, seats, shares, slot permits."""
