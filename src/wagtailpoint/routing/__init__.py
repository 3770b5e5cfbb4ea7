"""Routing of requests: virtual hosts, path prefixes, weighted splits and workspaces."""
