"""The caller library: lookup, binding and retries handled for the caller."""
