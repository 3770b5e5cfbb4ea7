"""The concurrent sends of one request, of which the first usable response is forwarded."""

import trio

from wagtailpoint.proxy.request_context import Outcome


class HedgedExchange:
    """The sends of one request that are under way, and which of them was answered.

    Attributes:
        outcome: The outcome of the send whose response was forwarded; None before.
        error: An error raised in one of the sends; None if there was none.
        answered_by: The id of the backend server whose response is forwarded; None before.
        scopes: The cancel scopes of the sends under way, by backend server.
        all_ended: Set when no send is under way.
    """

    def __init__(self) -> None:
        self.outcome: Outcome | None = None
        self.error: Exception | None = None
        self.answered_by: str | None = None
        self.scopes: dict[str, trio.CancelScope] = {}
        self.all_ended = trio.Event()

    def begin(self, server_id: str) -> trio.CancelScope:
        """Return the cancel scope of a new send, cancelled already if the reply was claimed.

        The task of a send may start after another send, in the same moment, was answered.
        """
        scope = self.scopes[server_id] = trio.CancelScope()
        if self.answered_by is not None:
            scope.cancel()
        return scope

    def claim(self, server_id: str) -> bool:
        """Claim the reply and cancel the other sends; return False if it was already claimed."""
        if self.answered_by is not None:
            return False
        self.answered_by = server_id
        for other_id, scope in self.scopes.items():
            if other_id != server_id:
                scope.cancel()
        return True


class HedgeDelays:
    """The waits of all requests for the time at which they are hedged."""

    def __init__(self) -> None:
        self._waits: set[trio.CancelScope] = set()

    async def wait(self, hedged: HedgedExchange, delay_s: float) -> None:
        """Wait until all attempts have ended, for ``delay_s`` seconds, or until ``end_all``."""
        with trio.move_on_after(delay_s) as scope:
            self._waits.add(scope)
            try:
                await hedged.all_ended.wait()
            finally:
                self._waits.discard(scope)

    def end_all(self) -> None:
        """End all waits, so that the requests are hedged now."""
        for scope in self._waits:
            scope.cancel()
