"""Hedging: a second copy of a slow, urgent, idempotent request, to another backend server."""

from collections.abc import Awaitable, Callable
from typing import Final, Protocol

import trio

from wagtailpoint.admission.slots import Slot
from wagtailpoint.entry.plan import Plan
from wagtailpoint.ports.backend import BackendFailure, BackendResponse, BodyBroken

SLOW_FRACTION: Final = 0.05
"""A request is slow if it takes longer than 95 % of those before it."""

DELAY_STEP: Final = 0.05
INITIAL_DELAY_S: Final = 0.1
MIN_DELAY_S: Final = 0.002

BUDGET_RESERVED_FOR_RETRIES: Final = 0.5
"""So much of the retry budget is left to retries: a copy of a slow request is a gain, but that of a
failed one is an answer instead of none."""


class HedgeDelays:
    """How long to wait before a second copy, for each pool.

    The 95th percentile, followed by small steps: up when a request was slower, down when not. An
    exchange that was cut off since its copy won counts as slower; a histogram of the times of those
    that ended would leave out the slow ones, and its percentile would fall and fall.
    """

    def __init__(self) -> None:
        self._delays: dict[str, float] = {}

    def delay_s(self, pool: str) -> float:
        """Seconds after the dispatch of the first copy."""
        return self._delays.get(pool, INITIAL_DELAY_S)

    def record(self, pool: str, *, slow: bool) -> None:
        """Learn from one request, whether it took longer than the delay."""
        step = 1 + DELAY_STEP * (1 - SLOW_FRACTION) if slow else 1 - DELAY_STEP * SLOW_FRACTION
        self._delays[pool] = max(MIN_DELAY_S, self.delay_s(pool) * step)


def may_hedge(plan: Plan) -> bool:
    """Whether a request is worth and may have a second copy: idempotent, most urgent, short."""
    most_urgent = min(policy.priority for policy in plan.service.classes.values())
    return plan.route.idempotent and not plan.route.bulk and plan.policy.priority == most_urgent


class SendCopy(Protocol):
    """Sends one copy on a slot and gives its response to a sink."""

    async def __call__(
        self, slot: Slot, sink: Callable[[BackendResponse], Awaitable[None]]
    ) -> BackendFailure | None:
        """Exchange it, then release the slot; return the failure if there is no response."""
        ...


class HedgedExchange:
    """One request with up to two copies; the first response is passed on, the other copy cut off.

    Cutting off closes its connection, so that a late answer reaches nobody.
    """

    def __init__(
        self,
        *,
        send_copy: SendCopy,
        sink: Callable[[BackendResponse], Awaitable[None]],
        take_second_slot: Callable[[], Slot | None],
        delay_s: float,
    ) -> None:
        """Prepare it.

        Args:
            send_copy: Sends a copy.
            sink: Takes the response of the first that has one.
            take_second_slot: Gives the second copy's slot when the first was slow, or None.
            delay_s: When that is, in seconds after the start.
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
        """Run it; afterwards it is ``answered``, or has ``failures`` in their order.

        Raises:
            BodyBroken: The response broke off after the sink had begun.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, 0, slot)
            nursery.start_soon(self._send_second)
        # Raised here: out of the nursery it would come wrapped in a group.
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
                    slot, lambda response: self._pass_on(index, response)
                )
                if failure is not None:
                    self.failures.append((slot, failure))
        except BodyBroken as error:
            self._broken = error
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                # The first has ended before the second began: there is nothing left to wait for.
                self._scopes[1].cancel()

    async def _pass_on(self, index: int, response: BackendResponse) -> None:
        if self.answered:
            # Cut off by the other one already, and about to notice.
            await trio.sleep_forever()
        self.answered = True
        self._scopes[1 - index].cancel()
        await self._sink(response)
