"""Header names of the caller interface, in the lower-case bytes that ASGI and httpcore use."""

WORKSPACE = b"wagtailpoint-workspace"
DEADLINE_MS = b"wagtailpoint-deadline-ms"
IDEMPOTENCY_KEY = b"idempotency-key"
BINDING = b"wagtailpoint-binding"
VERDICT = b"wagtailpoint-verdict"
REQUEST_ID = b"wagtailpoint-request-id"
RETRY_AFTER = b"retry-after"
