"""The request path: a caller's connection, one exchange with a backend server, what is between."""
