"""Asks the store now and then whether it still answers, for those who wait for it to speak."""

from random import Random
from typing import Final, Protocol

import trio

from wagtailpoint.observe.log import log_event

CHECK_INTERVAL_S: Final = 0.7
CHECK_TIMEOUT_S: Final = 1.0
"""The store answers in 4 ms, and 60 to 80 times slower when it is in trouble."""


class AnsweringStore(Protocol):
    """A store that can be asked whether it answers."""

    async def answers(self) -> bool:
        """Ask something cheap; False if the store refuses or can't be reached."""
        ...


class StoreCheck:
    """Notices that the store has stopped to answer.

    A store in trouble may take a watch and never answer it, also after it has recovered: the
    connection stays open, and its probes are answered by the machine. Whoever waits on it for 20 s
    hears nothing of what changes meanwhile, although the store is well again. So a watch is given
    up as soon as another call gets no answer.

    Whoever has lost the store waits here for its return. A call that may be answered with old data
    costs a tenth of a watch, and one call serves all kinds: an outage of 8 s cost 77 instances
    1,800 refused calls when each kind tried its watch once a second, and 90 of that price this way
    (calculated).
    """

    def __init__(self, *, store: AnsweringStore, random: Random) -> None:
        """Make it.

        Args:
            store: Is asked.
            random: For the jitter.
        """
        self._store = store
        self._random = random
        self._waiting = 0
        self._failed = trio.Event()
        self._answered = trio.Event()
        self._answering = True

    async def wait_failed(self) -> None:
        """Wait until the store does not answer; it is asked only while somebody waits."""
        await self._wait(self._failed)

    async def wait_answering(self) -> None:
        """Wait until the store answers; it is asked only while somebody waits."""
        await self._wait(self._answered)

    async def _wait(self, event: trio.Event) -> None:
        self._waiting += 1
        try:
            await event.wait()
        finally:
            self._waiting -= 1

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S * self._random.uniform(0.8, 1.2))
            if not self._waiting:
                continue
            answering = False
            with trio.move_on_after(CHECK_TIMEOUT_S):
                answering = await self._store.answers()
            if answering:
                self._answered.set()
                self._answered = trio.Event()
            else:
                self._failed.set()
                self._failed = trio.Event()
            if answering != self._answering:
                log_event(
                    "store-check", level="INFO" if answering else "WARNING", answers=answering
                )
            self._answering = answering
