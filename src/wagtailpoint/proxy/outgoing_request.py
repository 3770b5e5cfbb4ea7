"""The request that is sent to a backend server, from that of the caller."""

from typing import Final

from wagtailpoint.proxy.headers import (
    HeaderNames,
    content_length,
    end_to_end_headers,
    header_value,
)
from wagtailpoint.proxy.request_context import RequestContext
from wagtailpoint.proxy.request_encoding import OutgoingRequest
from wagtailpoint.routing.workspaces import AUTHORIZATION

REPLY_MARGIN_S: Final = 0.003
"""Subtracted from the deadline passed to the backend server, so that a response at that deadline
still reaches the caller in time."""


def make_outgoing_request(
    context: RequestContext, server_id: str, names: HeaderNames
) -> OutgoingRequest:
    """Return the request for a send to a backend server.

    Args:
        context: The caller's request and the state of its dispatch.
        server_id: The id of the backend server, which any other one refuses.
        names: The deployment's header names.
    """
    request = context.request
    dropped = [names.deadline_ms, names.expected_server, names.workspace, b"expect"]
    if context.table.workspaces is not None:
        dropped.append(AUTHORIZATION)
    headers = end_to_end_headers(request.headers, dropped)
    left_ms = max(1, int((context.server_remaining_s - REPLY_MARGIN_S) * 1000))
    headers.append((names.deadline_ms, str(left_ms).encode()))
    headers.append((names.expected_server, server_id.encode()))
    if context.workspace is not None:
        headers.append((names.workspace, context.workspace.name.encode()))
    return OutgoingRequest(
        request_id=header_value(request.headers, names.request_id) or b"",
        method=request.method,
        target=request.target,
        headers=headers,
        body=context.body.read,
        rest=context.body.rest,
        body_bytes=content_length(request.headers),
    )
