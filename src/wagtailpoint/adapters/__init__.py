"""The implementations of the ports on top of libraries."""
