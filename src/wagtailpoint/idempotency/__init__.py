"""At most once: keys of non-idempotent requests and their outcomes."""
