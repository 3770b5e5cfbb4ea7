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
        self._answering = True

    async def wait_failed(self) -> None:
        """Wait until the store does not answer; it is asked only while somebody waits."""
        self._waiting += 1
        try:
            await self._failed.wait()
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
            if not answering:
                self._failed.set()
                self._failed = trio.Event()
            if answering != self._answering:
                log_event(
                    "store-check", level="INFO" if answering else "WARNING", answers=answering
                )
            self._answering = answering
