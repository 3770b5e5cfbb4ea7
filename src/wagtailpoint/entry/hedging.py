"""Hedging: sends a slow, urgent, idempotent request to a second backend server."""

from collections.abc import Awaitable, Callable
from typing import Final, Protocol

import trio

from wagtailpoint.admission.slots import Slot
from wagtailpoint.entry.plan import Plan
from wagtailpoint.ports.backend import BackendFailure, BackendResponse, BodyBroken

SLOW_FRACTION: Final = 0.05
"""Fraction of requests that count as slow: those above the 95th percentile of the latency."""

DELAY_STEP: Final = 0.05
INITIAL_DELAY_S: Final = 0.1
MIN_DELAY_S: Final = 0.002

BUDGET_RESERVED_FOR_RETRIES: Final = 0.5
"""Fraction of the retry budget that hedged requests leave to retries: a hedged request only reduces
the latency, while a retry may turn a failure into an answer."""


class HedgeDelays:
    """Estimates the delay before a hedged request, for each slot pool.

    The delay approximates the 95th percentile of the latency. It is raised by a small step after a
    slower request and lowered after a faster one. An exchange that was cancelled because the hedged
    request was answered first counts as slower. A histogram of completed exchanges would omit these
    slow ones, so that its percentile would fall continuously.
    """

    def __init__(self) -> None:
        self._delays: dict[str, float] = {}

    def delay_s(self, pool: str) -> float:
        """Return the delay after the first send, in seconds."""
        return self._delays.get(pool, INITIAL_DELAY_S)

    def record(self, pool: str, *, slow: bool) -> None:
        """Record whether a request took longer than the delay."""
        step = 1 + DELAY_STEP * (1 - SLOW_FRACTION) if slow else 1 - DELAY_STEP * SLOW_FRACTION
        self._delays[pool] = max(MIN_DELAY_S, self.delay_s(pool) * step)


def may_hedge(plan: Plan) -> bool:
    """Whether a request may be hedged: it is idempotent, not bulk, and of the highest priority."""
    most_urgent = min(policy.priority for policy in plan.service.classes.values())
    return plan.route.idempotent and not plan.route.bulk and plan.policy.priority == most_urgent


class SendCopy(Protocol):
    """Sends a request on a slot and passes the response to a sink."""

    async def __call__(
        self, slot: Slot, sink: Callable[[BackendResponse], Awaitable[None]]
    ) -> BackendFailure | None:
        """Send the request and release the slot; return the failure if there is no response."""
        ...


class HedgedExchange:
    """Sends a request up to twice, forwards the first response and cancels the other exchange.

    Cancelling an exchange closes its connection, so that its late response is discarded.

    Attributes:
        slow: Whether the first exchange took longer than the delay.
        answered: Whether a response was forwarded.
        failures: The slots and failures of failed exchanges, in the order of their ends.
    """

    def __init__(
        self,
        *,
        send_copy: SendCopy,
        sink: Callable[[BackendResponse], Awaitable[None]],
        take_second_slot: Callable[[], Slot | None],
        delay_s: float,
    ) -> None:
        """Initialise the exchange.

        Args:
            send_copy: Sends the request on a slot.
            sink: Receives the first response.
            take_second_slot: Returns a slot for the hedged request, or None to send none.
            delay_s: Delay before the hedged request, in seconds.
        """
        self._send_copy = send_copy
        self._sink = sink
        self._take_second_slot = take_second_slot
        self._delay_s = delay_s
        self._scopes = (trio.CancelScope(), trio.CancelScope())
        self._in_flight = 0
        self._broken: BodyBroken | None = None
        self.slow = False
        self.answered = False
        self.failures: list[tuple[Slot, BackendFailure]] = []

    async def run(self, slot: Slot) -> None:
        """Run the exchange; afterwards either ``answered`` is true or ``failures`` is not empty.

        Raises:
            BodyBroken: The response was truncated after the sink had been called.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, 0, slot)
            nursery.start_soon(self._send_second)
        # Raised outside the nursery, which would wrap it in an exception group.
        if self._broken is not None:
            raise self._broken

    async def _send_second(self) -> None:
        with self._scopes[1]:
            await trio.sleep(self._delay_s)
            self.slow = True
            slot = self._take_second_slot()
            if slot is not None:
                await self._send(1, slot)

    async def _send(self, index: int, slot: Slot) -> None:
        self._in_flight += 1
        try:
            with self._scopes[0] if index == 0 else trio.CancelScope():
                failure = await self._send_copy(
                    slot, lambda response: self._forward_response(index, response)
                )
                if failure is not None:
                    self.failures.append((slot, failure))
        except BodyBroken as error:
            self._broken = error
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                # No exchange is left; if the hedged request was not sent yet, it is not needed.
                self._scopes[1].cancel()

    async def _forward_response(self, index: int, response: BackendResponse) -> None:
        if self.answered:
            # The other exchange has cancelled this one; wait for the cancellation.
            await trio.sleep_forever()
        self.answered = True
        self._scopes[1 - index].cancel()
        await self._sink(response)
