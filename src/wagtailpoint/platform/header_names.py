"""The platform's header names, given to the request path as a value."""

from typing import Final

from wagtailpoint.proxy.headers import HeaderNames

HEADER_NAMES: Final = HeaderNames(
    request_id=b"x-attempt-id",
    deadline_ms=b"x-deadline-ms",
    affinity=b"x-affinity-key",
    expected_server=b"x-expect-instance",
    load=b"x-server-load",
    not_run=b"x-not-executed",
    cold_ms=b"x-cold-ms",
    workspace=b"x-tenant",
)
"""The id is one of a caller's sends: when a caller repeats a request, it sends another id."""
