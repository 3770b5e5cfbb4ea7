"""The request path: callers' connections, request dispatch and exchanges with backend servers."""
