"""Implementations of the ports, based on third-party libraries."""
