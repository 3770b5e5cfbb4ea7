"""Callers that repeatedly send a request that crashes the backend server that runs it."""

from random import Random
from typing import Final

import h11
import trio

from bench.soak.caller import DrawnRequest, encode_request, read_answer
from bench.soak.deployment import CALLER_PORT, CRASHING, Deployment
from bench.soak.findings import ANSWER_TIMEOUT_S, NOT_RUN, Findings, SentRequest

CRASHING_REQUESTS: Final = 2
"""The number of different crashing requests in a soak."""

MAX_FIRST_DELAY_S: Final = 4.0
MAX_PAUSE_S: Final = 0.6


class CrashingCaller:
    """Sends one crashing request to random instances, each time with another request id."""

    def __init__(
        self, *, number: int, deployment: Deployment, findings: Findings, random: Random
    ) -> None:
        """Initialise the caller; ``run`` starts it."""
        self._name = f"crashing-{number}"
        self._deployment = deployment
        self._findings = findings
        self._random = random
        self._sent = 0
        self._method, route = random.choice((("GET", "read"), ("POST", "write")))
        self._target = f"/{route}{CRASHING}{number}"

    async def run(self) -> None:
        """Send until cancelled."""
        await trio.sleep(self._random.uniform(0.0, MAX_FIRST_DELAY_S))
        while True:
            try:
                with trio.fail_after(ANSWER_TIMEOUT_S):
                    await self._send_one()
            except (OSError, trio.TooSlowError, trio.BrokenResourceError):
                self._findings.statuses[0] += 1
            await trio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))

    async def _send_one(self) -> None:
        self._sent += 1
        instance = self._random.choice(self._deployment.instances)
        drawn = DrawnRequest(f"{self._name}-{self._sent}", self._method, self._target, None)
        self._findings.sent[drawn.request_id] = SentRequest(
            instance.number, instance.processes, trio.current_time(), self._method == "GET"
        )
        parser = h11.Connection(h11.CLIENT)
        async with await trio.open_tcp_stream(instance.address, CALLER_PORT) as stream:
            await stream.send_all(encode_request(drawn, parser))
            status, _ = await read_answer(stream, parser)
        self._findings.statuses[status] += 1
        if status == 200:
            self._findings.violations.append(
                f"{drawn.request_id} was answered with 200 although it crashes backend servers"
            )
        if status in NOT_RUN:
            self._findings.refused.add(drawn.request_id)
