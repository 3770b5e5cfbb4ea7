"""At-most-once execution: idempotency keys of requests, their bindings, claims and outcomes."""
