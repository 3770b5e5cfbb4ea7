"""Steady load from callers of several regions, for tests with real processes."""

from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager

import trio

from tests.common.deployment_process import RunningDeployment
from wagtailpoint.caller import Caller
from wagtailpoint.errors import NoEntryAvailable, RequestUnanswered

THINGS = 500
DEADLINE_S = 8.0


class SteadyLoad:
    """Sends GETs of ``path/NUMBER`` at a constant rate, with callers in turn; counts results."""

    def __init__(self, *, callers: Sequence[Caller], path: str, rate: float) -> None:
        self.ends: Counter[str] = Counter()
        self._callers = callers
        self._path = path
        self._rate = rate

    async def run(self) -> None:
        """Send until cancelled."""
        number = 0
        async with trio.open_nursery() as nursery:
            while True:
                caller = self._callers[number % len(self._callers)]
                nursery.start_soon(self._request, caller, f"{self._path}/{number % THINGS}")
                number += 1
                await trio.sleep(1 / self._rate)

    async def _request(self, caller: Caller, path: str) -> None:
        try:
            answer = await caller.request("GET", path, deadline_s=DEADLINE_S)
        except (RequestUnanswered, NoEntryAvailable) as error:
            self.ends[f"error {error}"] += 1
        else:
            self.ends[f"status {answer.status}"] += 1


@asynccontextmanager
async def steady_load(
    running: RunningDeployment, *, workspace: str, path: str, rate: float, clients: Sequence[str]
) -> AsyncIterator[SteadyLoad]:
    """Send a steady load while the context is active."""
    async with AsyncExitStack() as stack:
        callers = [
            await stack.enter_async_context(running.caller(workspace, address=client))
            for client in clients
        ]
        load = SteadyLoad(callers=callers, path=path, rate=rate)
        nursery = await stack.enter_async_context(trio.open_nursery())
        nursery.start_soon(load.run)
        yield load
        nursery.cancel_scope.cancel()
