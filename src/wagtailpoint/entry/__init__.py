"""The entry: admits callers' requests, forwards them to backend servers and returns responses."""
