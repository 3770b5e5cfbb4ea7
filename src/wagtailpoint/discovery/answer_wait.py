"""Waiting for an answer of the store while other answers arrive over the same link.

A short answer that is sent behind a long one arrives after it. On a narrow link that takes longer
than a failing store is given, and says nothing about the store.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

import trio

_Answer = TypeVar("_Answer")


class Receiver(Protocol):
    """A client of the store that knows of its answers under way."""

    @property
    def is_receiving(self) -> bool:
        """Whether a body of several parts is arriving."""
        ...

    @property
    def received_at(self) -> float:
        """When a part of a body of several parts arrived last, by trio's clock."""
        ...


async def wait_for_answer(
    call: Callable[[], Awaitable[_Answer]], *, store: Receiver, timeout_s: float
) -> _Answer | None:
    """Make a call; return None after a time in which nothing arrived.

    Args:
        call: The call of the store.
        store: Its client.
        timeout_s: Maximum time, in seconds, without an answer and without a part of a long one.
    """
    answer: _Answer | None = None

    async def give_up(scope: trio.CancelScope) -> None:
        began_at = trio.current_time()
        while True:
            until = max(began_at, store.received_at) + timeout_s
            if until <= trio.current_time():
                scope.cancel()
                return
            await trio.sleep_until(until)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(give_up, nursery.cancel_scope)
        answer = await call()
        nursery.cancel_scope.cancel()
    return answer
