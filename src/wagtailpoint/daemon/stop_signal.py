"""The signals that ask a process for a planned stop."""

import signal
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from types import FrameType
from typing import Final, NamedTuple

import trio

from wagtailpoint.daemon.loop_activity import LoopActivity
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.clock import Clock

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class StopRequest(NamedTuple):
    """The signal that began a stop.

    Attributes:
        name: The name of the signal.
        sent_after: The earliest moment at which it may have been sent, in seconds of the clock.
        handled_at: When it was handled, in seconds of the clock.
    """

    name: str
    sent_after: float
    handled_at: float


class StopSignal:
    """Waits for the first signal that asks for a stop; further ones change nothing."""

    def __init__(self, *, clock: Clock, signals: Sequence[signal.Signals] = STOP_SIGNALS) -> None:
        """Initialise the receiver; ``listen`` starts it.

        Args:
            clock: The clock, which counts the time in suspension.
            signals: The signals that ask for a stop.
        """
        self._clock = clock
        self._signals = tuple(signals)
        self._activity = LoopActivity(clock=clock)
        self._request: StopRequest | None = None
        self._arrived = trio.Event()

    @contextmanager
    def listen(self) -> Iterator[None]:
        """Receive the signals while the context is active, and ignore them for good after it.

        The default action would kill a process that is about to exit.
        """
        token = trio.lowlevel.current_trio_token()
        trio.lowlevel.add_instrument(self._activity)

        def handle(number: int, frame: FrameType | None) -> None:
            # Read here, before the loop runs again.
            request = StopRequest(
                name=signal.Signals(number).name,
                sent_after=self._activity.earliest_cause(),
                handled_at=self._clock.monotonic(),
            )
            token.run_sync_soon(self._record, request)

        for number in self._signals:
            signal.signal(number, handle)
        try:
            yield
        finally:
            for number in self._signals:
                signal.signal(number, signal.SIG_IGN)
            trio.lowlevel.remove_instrument(self._activity)

    async def wait(self) -> StopRequest:
        """Wait for the first signal."""
        await self._arrived.wait()
        assert self._request is not None
        return self._request

    def _record(self, request: StopRequest) -> None:
        if self._request is not None:
            log_event("stop-signal-repeated", signal=request.name)
            return
        self._request = request
        self._arrived.set()
