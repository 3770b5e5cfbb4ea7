"""Quarantine of requests that crash backend servers: detection, broadcast and storage."""
