"""Connections to backend servers through other instances, while this one is cut off from them."""
