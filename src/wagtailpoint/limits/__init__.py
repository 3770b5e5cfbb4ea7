"""Rate limits that instances share, and the leases that they are based on."""
