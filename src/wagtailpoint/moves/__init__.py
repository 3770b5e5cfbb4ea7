"""Moves: planned shifts of a workspace's traffic from one group of backend servers to another."""
