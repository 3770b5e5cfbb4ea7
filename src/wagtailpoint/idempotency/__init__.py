"""At most once: keys of non-idempotent requests, their bindings, claims and outcomes."""
