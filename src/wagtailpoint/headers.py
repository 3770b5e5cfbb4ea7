"""Header names of the caller interface, as lower-case bytes for ASGI and httpcore."""

WORKSPACE = b"wagtailpoint-workspace"
DEADLINE_MS = b"wagtailpoint-deadline-ms"
IDEMPOTENCY_KEY = b"idempotency-key"
BINDING = b"wagtailpoint-binding"
VERDICT = b"wagtailpoint-verdict"
REQUEST_ID = b"wagtailpoint-request-id"
RETRY_AFTER = b"retry-after"
