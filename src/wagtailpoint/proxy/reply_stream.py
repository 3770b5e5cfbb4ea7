"""Forwarding of a long response while it arrives."""

from collections.abc import AsyncIterator

import trio

from wagtailpoint.ports.backend import BodyBroken
from wagtailpoint.proxy.backend_connection import BackendReply
from wagtailpoint.proxy.caller_exchange import CallerExchange
from wagtailpoint.proxy.request_context import Outcome
from wagtailpoint.verdict import Verdict


async def stream_reply(
    reply: BackendReply, rest: AsyncIterator[bytes], caller: CallerExchange, *, deadline: float
) -> Outcome:
    """Forward a response whose rest arrives later.

    Args:
        reply: The head and the beginning of the response.
        rest: The rest of its body.
        caller: Receives the response.
        deadline: Trio time by which the response has to be complete, in seconds.

    Raises:
        BodyBroken: The response broke off, or was not complete at the deadline.
    """
    if reply.length is not None:
        framing = (b"content-length", str(reply.length).encode())
    else:
        framing = (b"transfer-encoding", b"chunked")
    with trio.move_on_at(deadline):
        await caller.begin(reply.status, [*reply.headers, framing])
        await caller.send(reply.body)
        async for part in rest:
            await caller.send(part)
        await caller.finish()
        return Outcome(reply.status, "answered", Verdict.RAN)
    raise BodyBroken("not complete at the deadline")
