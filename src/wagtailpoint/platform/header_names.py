"""The platform's header names, passed to the request path as a value."""

from typing import Final

from wagtailpoint.proxy.headers import HeaderNames

HEADER_NAMES: Final = HeaderNames(
    request_id=b"x-attempt-id",
    deadline_ms=b"x-deadline-ms",
    affinity=b"x-affinity-key",
    expected_server=b"x-expect-instance",
    load=b"x-server-load",
    limit=b"server-limit",
    leaving=b"server-leaving",
    not_run=b"x-not-executed",
    cold_ms=b"x-cold-ms",
    workspace=b"x-tenant",
)
"""The request id identifies one attempt of a caller: a retry has another id."""
