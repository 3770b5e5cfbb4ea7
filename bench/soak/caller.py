"""Callers of a soak, which reuse each connection until the instance closes it."""

import math
from random import Random
from typing import Final, NamedTuple

import h11
import trio

from bench.soak.deployment import (
    CALLER_PORT,
    FIRST_VERSION,
    HOST,
    Deployment,
)
from bench.soak.findings import ANSWER_TIMEOUT_S, Findings, SentRequest
from bench.soak.instance import Instance
from bench.soak.planned_stops import Ended
from bench.soak.routes import READ_TIMEOUT_S, WRITE_TIMEOUT_S
from bench.soak.workspaces import authorization

MEAN_PAUSE_S: Final = 0.05
DEADLINE_MS: Final = "2000"
WRITE_FRACTION: Final = 0.3
"""The fraction of requests that must not run more than once."""

PROBE_FRACTION: Final = 0.4
PROBED_VERSIONS: Final = 4
"""The number of newest routes to which the fraction ``PROBE_FRACTION`` of the requests goes."""


class DrawnRequest(NamedTuple):
    """A request to send, with the version that added its route if it probes a new route."""

    request_id: str
    method: str
    target: str
    version: int | None


class Caller:
    """Sends sequential requests to one instance, and checks each answer."""

    def __init__(
        self,
        *,
        name: str,
        instance: Instance,
        deployment: Deployment,
        findings: Findings,
        random: Random,
        mean_pause_s: float = MEAN_PAUSE_S,
        until_s: float = math.inf,
    ) -> None:
        """Initialise the caller; ``run`` starts it.

        Args:
            name: Begins the ids of its requests.
            instance: The instance to which it sends.
            deployment: Has the versions whose routes are probed.
            findings: Records requests and answers.
            random: The source of choices.
            mean_pause_s: The mean time between an answer and the next request, in seconds.
            until_s: The trio time after which it sends no more, in seconds.
        """
        self._name = name
        self._instance = instance
        self._deployment = deployment
        self._findings = findings
        self._random = random
        self._mean_pause_s = mean_pause_s
        self._until_s = until_s
        self._sent = 0
        self._started_s = 0.0

    async def run(self) -> None:
        """Connect and send until cancelled or ``until_s``."""
        while trio.current_time() < self._until_s:
            self._started_s = trio.current_time()
            try:
                with trio.fail_after(ANSWER_TIMEOUT_S):
                    stream = await trio.open_tcp_stream(self._instance.address, CALLER_PORT)
                async with stream:
                    await self._use(stream)
            except (OSError, trio.TooSlowError, trio.BrokenResourceError) as error:
                self._findings.record_unanswered(
                    self._instance.number, self._started_s, repr(error)
                )
            await trio.sleep(self._mean_pause_s)

    async def _use(self, stream: trio.SocketStream) -> None:
        parser = h11.Connection(h11.CLIENT)
        while True:
            await self._send_one(stream, parser)
            if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
                return
            parser.start_next_cycle()
            await trio.sleep(self._random.uniform(0.0, 2 * self._mean_pause_s))
            if trio.current_time() >= self._until_s:
                return

    async def _send_one(self, stream: trio.SocketStream, parser: h11.Connection) -> None:
        self._sent += 1
        self._started_s = trio.current_time()
        drawn = self._draw_request(f"{self._name}-{self._sent}")
        instance = self._instance
        process = instance.processes
        idempotent = drawn.method == "GET"
        sent = SentRequest(instance.number, process, self._started_s, idempotent)
        self._findings.sent[drawn.request_id] = sent
        status, body = 0, b""
        try:
            await stream.send_all(encode_request(drawn, parser))
            with trio.fail_after(ANSWER_TIMEOUT_S):
                status, body = await read_answer(stream, parser)
        except trio.BrokenResourceError:
            self._findings.cut_requests.add(drawn.request_id)
            raise
        finally:
            self._findings.stop_checks.ended.append(
                Ended(
                    request_id=drawn.request_id,
                    instance=instance.number,
                    process=process,
                    sent_s=sent.sent_s,
                    ended_s=trio.current_time(),
                    limit_s=WRITE_TIMEOUT_S if drawn.method == "POST" else READ_TIMEOUT_S,
                    status=status,
                    refused_by_stop=status == 503 and b"stopping" in body,
                )
            )
        self.check(drawn, status, body)
        if drawn.version is not None and status in (200, 404):
            self._findings.record_version(
                sent, drawn.version, served=status == 200, answered_s=trio.current_time()
            )

    def _draw_request(self, request_id: str) -> DrawnRequest:
        if self._random.random() < PROBE_FRACTION:
            age = self._random.randrange(PROBED_VERSIONS)
            version = max(FIRST_VERSION, self._deployment.version - age)
            return DrawnRequest(request_id, "GET", f"/added-{version}/{request_id}", version)
        if self._random.random() < WRITE_FRACTION:
            return DrawnRequest(request_id, "POST", f"/write/{request_id}", None)
        return DrawnRequest(request_id, "GET", f"/read/{request_id}", None)

    def check(self, drawn: DrawnRequest, status: int, body: bytes) -> None:
        """Record an answer and the guarantees that it violates."""
        self._findings.record_answer(drawn.request_id, drawn.target, status, body)
        if status == 404 and drawn.version is None:
            self._findings.violations.append(f"{drawn.request_id}: 404 for {drawn.target}")


def encode_request(drawn: DrawnRequest, parser: h11.Connection) -> bytes:
    """Encode a request, and advance the state of the parser."""
    headers = [
        ("Host", HOST),
        ("X-Attempt-Id", drawn.request_id),
        ("X-Deadline-Ms", DEADLINE_MS),
        ("Authorization", authorization(drawn.request_id)),
    ]
    if drawn.method == "POST":
        headers.append(("Content-Length", "0"))
    head = h11.Request(method=drawn.method, target=drawn.target, headers=headers)
    return (parser.send(head) or b"") + (parser.send(h11.EndOfMessage()) or b"")


async def read_answer(stream: trio.SocketStream, parser: h11.Connection) -> tuple[int, bytes]:
    """Read one answer; return its status and whole body.

    Raises:
        trio.BrokenResourceError: The connection ended before the end of the answer.
    """
    status, body = 0, b""
    while True:
        try:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await stream.receive_some())
                continue
        except h11.RemoteProtocolError as error:
            raise trio.BrokenResourceError from error
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return status, body
        else:
            raise trio.BrokenResourceError
