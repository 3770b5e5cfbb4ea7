"""Callers of a soak, which reuse each connection until the instance closes it."""

from random import Random
from typing import Final, NamedTuple

import h11
import trio

from bench.soak.deployment import CALLER_PORT, FIRST_VERSION, HOST, Deployment, Instance
from bench.soak.findings import ANSWER_TIMEOUT_S, Findings, SentRequest

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
    ) -> None:
        """Initialise the caller; ``run`` starts it."""
        self._name = name
        self._instance = instance
        self._deployment = deployment
        self._findings = findings
        self._random = random
        self._sent = 0
        self._started_s = 0.0

    async def run(self) -> None:
        """Connect and send until cancelled."""
        while True:
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
            await trio.sleep(MEAN_PAUSE_S)

    async def _use(self, stream: trio.SocketStream) -> None:
        parser = h11.Connection(h11.CLIENT)
        while True:
            await self._send_one(stream, parser)
            if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
                return
            parser.start_next_cycle()
            await trio.sleep(self._random.uniform(0.0, 2 * MEAN_PAUSE_S))

    async def _send_one(self, stream: trio.SocketStream, parser: h11.Connection) -> None:
        self._sent += 1
        self._started_s = trio.current_time()
        drawn = self._draw_request(f"{self._name}-{self._sent}")
        instance = self._instance
        idempotent = drawn.method == "GET"
        sent = SentRequest(instance.number, instance.processes, self._started_s, idempotent)
        self._findings.sent[drawn.request_id] = sent
        await stream.send_all(encode_request(drawn, parser))
        try:
            with trio.fail_after(ANSWER_TIMEOUT_S):
                status, body = await read_answer(stream, parser)
        except trio.BrokenResourceError:
            self._findings.cut_requests.add(drawn.request_id)
            raise
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
        self._findings.statuses[status] += 1
        self._findings.answered[drawn.request_id] = status
        if status == 200 and body != f"{drawn.request_id} {drawn.target}".encode():
            self._findings.violations.append(
                f"{drawn.request_id} got the answer of another request: {body!r}"
            )
        if status == 503:
            self._findings.refused.add(drawn.request_id)
        if status == 503 and b"quarantined" in body:
            self._findings.violations.append(
                f"{drawn.request_id}: {drawn.target} was refused as quarantined"
            )
        if status == 404 and drawn.version is None:
            self._findings.violations.append(f"{drawn.request_id}: 404 for {drawn.target}")


def encode_request(drawn: DrawnRequest, parser: h11.Connection) -> bytes:
    """Encode a request, and advance the state of the parser."""
    headers = [("Host", HOST), ("X-Attempt-Id", drawn.request_id), ("X-Deadline-Ms", DEADLINE_MS)]
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
