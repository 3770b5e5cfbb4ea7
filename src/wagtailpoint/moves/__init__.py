"""Moves and drains."""
