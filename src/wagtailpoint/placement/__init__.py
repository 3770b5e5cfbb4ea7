"""Choice of a backend server for a request by affinity, load, distance and observed failures."""
