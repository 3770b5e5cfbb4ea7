"""Requests that crash the backend servers that run them: found, told to all, and refused."""
