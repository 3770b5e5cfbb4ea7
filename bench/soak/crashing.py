"""Callers whose request crashes the backend servers that run it, and comes again and again."""

from random import Random
from typing import Final

import h11
import trio

from bench.soak.caller import Drawn, encode_request, read_answer
from bench.soak.deployment import CALLER_PORT, CRASHING, Deployment
from bench.soak.findings import ANSWER_LIMIT_S, Asked, Findings

REQUESTS: Final = 2
"""Different requests of that kind in a soak."""

FIRST_WITHIN_S: Final = 4.0
LONGEST_PAUSE_S: Final = 0.6


class CrashingCaller:
    """Sends one such request to one instance after the other, each time under another id."""

    def __init__(
        self, *, number: int, world: Deployment, findings: Findings, random: Random
    ) -> None:
        """Make it; ``run`` starts it."""
        self._name = f"crashing-{number}"
        self._world = world
        self._findings = findings
        self._random = random
        self._sent = 0
        self._method, route = random.choice((("GET", "read"), ("POST", "write")))
        self._target = f"/{route}{CRASHING}{number}"

    async def run(self) -> None:
        """Send until cancelled."""
        await trio.sleep(self._random.uniform(0.0, FIRST_WITHIN_S))
        while True:
            try:
                with trio.fail_after(ANSWER_LIMIT_S):
                    await self._send_one()
            except (OSError, trio.TooSlowError, trio.BrokenResourceError):
                self._findings.statuses[0] += 1
            await trio.sleep(self._random.uniform(0.0, LONGEST_PAUSE_S))

    async def _send_one(self) -> None:
        self._sent += 1
        instance = self._random.choice(self._world.instances)
        drawn = Drawn(f"{self._name}-{self._sent}", self._method, self._target, None)
        self._findings.asked[drawn.request_id] = Asked(
            instance.number, instance.processes, trio.current_time(), self._method == "GET"
        )
        parser = h11.Connection(h11.CLIENT)
        async with await trio.open_tcp_stream(instance.address, CALLER_PORT) as stream:
            await stream.send_all(encode_request(drawn, parser))
            status, _ = await read_answer(stream, parser)
        self._findings.statuses[status] += 1
        if status == 200:
            self._findings.found.append(f"{drawn.request_id} was answered")
        if status == 503:
            self._findings.refused.add(drawn.request_id)
