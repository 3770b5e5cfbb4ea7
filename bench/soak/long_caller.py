"""Callers of a soak whose requests last as long as a planned stop."""

from random import Random
from typing import Final, NamedTuple

import h11
import trio

from bench.soak.deployment import CALLER_PORT, HOST
from bench.soak.findings import Findings, SentRequest
from bench.soak.instance import Instance
from bench.soak.planned_stops import Ended
from bench.soak.routes import LONG_TIMEOUT_S
from bench.soak.workspaces import authorization

MIN_WORK_S: Final = 0.05
MAX_SHORT_WORK_S: Final = 0.4
MAX_WORK_S: Final = 3.5
SHORT_WORK_FRACTION: Final = 0.4
"""The fraction of requests on the same routes that take little time."""

WRITE_FRACTION: Final = 0.5
PIPELINED_FRACTION: Final = 0.3
PIPELINED: Final = 3
"""The fraction of idempotent requests that are sent several at once, and how many."""

MAX_PAUSE_S: Final = 0.1
ANSWER_SLACK_S: Final = 1.5
"""Callers wait this much longer than the route's timeout allows."""

DEADLINE_MS: Final = "10000"
CONNECT_TIMEOUT_S: Final = 1.0


class LongRequest(NamedTuple):
    """A request to send.

    Attributes:
        request_id: Its id.
        method: Its method.
        target: Its target, which tells the backend server how long to work.
    """

    request_id: str
    method: str
    target: str


class LongCaller:
    """Keeps connections to one instance until it closes them, and opens new ones at once."""

    def __init__(
        self,
        *,
        name: str,
        instance: Instance,
        findings: Findings,
        random: Random,
    ) -> None:
        """Initialise the caller; ``run`` starts it."""
        self._name = name
        self._instance = instance
        self._findings = findings
        self._random = random
        self._sent = 0

    async def run(self) -> None:
        """Connect and send until cancelled."""
        while True:
            started_s = trio.current_time()
            try:
                with trio.fail_after(CONNECT_TIMEOUT_S):
                    stream = await trio.open_tcp_stream(self._instance.address, CALLER_PORT)
            except (OSError, trio.TooSlowError) as error:
                self._findings.record_unanswered(self._instance.number, started_s, repr(error))
                await trio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))
                continue
            process = self._instance.processes
            async with stream:
                while await self._exchange(stream, process):  # noqa: ASYNC110 - it sends
                    await trio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))

    def _draw(self) -> list[LongRequest]:
        is_write = self._random.random() < WRITE_FRACTION
        is_pipelined = not is_write and self._random.random() < PIPELINED_FRACTION
        drawn = []
        for _ in range(PIPELINED if is_pipelined else 1):
            self._sent += 1
            is_short = self._random.random() < SHORT_WORK_FRACTION
            work_s = self._random.uniform(MIN_WORK_S, MAX_SHORT_WORK_S if is_short else MAX_WORK_S)
            request_id = f"{self._name}-{self._sent}"
            prefix = "long-write" if is_write else "long-read"
            target = f"/{prefix}/slow-{1000 * work_s:.0f}/{request_id}"
            drawn.append(LongRequest(request_id, "POST" if is_write else "GET", target))
        return drawn

    async def _exchange(self, stream: trio.SocketStream, process: int) -> bool:
        """Send requests at once and read their answers; return whether the connection goes on."""
        requests = self._draw()
        sent_s = trio.current_time()
        for request in requests:
            self._findings.sent[request.request_id] = SentRequest(
                self._instance.number, process, sent_s, request.method == "GET"
            )
        received, answered, goes_on = b"", 0, True
        try:
            await stream.send_all(b"".join(_encode(request) for request in requests))
            for request in requests:
                with trio.fail_after(LONG_TIMEOUT_S * len(requests) + ANSWER_SLACK_S):
                    status, body, goes_on, received = await _read_answer(stream, received)
                self._record(request, process, sent_s, answered > 0, status, body)
                answered += 1
                if not goes_on:
                    break
        except (
            OSError, trio.BrokenResourceError, trio.TooSlowError, h11.RemoteProtocolError
        ) as error:  # fmt: skip
            goes_on = False
            self._findings.record_unanswered(self._instance.number, sent_s, repr(error))
        for number, request in enumerate(requests[answered:], start=answered):
            self._record(request, process, sent_s, number > 0, 0, b"")
        return goes_on

    def _record(
        self,
        request: LongRequest,
        process: int,
        sent_s: float,
        queued: bool,
        status: int,
        body: bytes,
    ) -> None:
        if status:
            self._findings.record_answer(request.request_id, request.target, status, body)
        self._findings.stop_checks.ended.append(
            Ended(
                request_id=request.request_id,
                instance=self._instance.number,
                process=process,
                sent_s=sent_s,
                ended_s=trio.current_time(),
                limit_s=LONG_TIMEOUT_S,
                status=status,
                refused_by_stop=status == 503 and b"stopping" in body,
                queued=queued,
            )
        )


def _encode(request: LongRequest) -> bytes:
    lines = [
        f"{request.method} {request.target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request.request_id}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
        f"Authorization: {authorization(request.request_id)}",
        *(["Content-Length: 0"] if request.method == "POST" else []),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def _read_answer(
    stream: trio.SocketStream, received: bytes
) -> tuple[int, bytes, bool, bytes]:
    """Read one answer; return its status, its body, if the connection goes on, and what follows.

    Raises:
        trio.BrokenResourceError: The connection ended before the end of the answer.
    """
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", HOST)]))
    parser.send(h11.EndOfMessage())
    if received:
        parser.receive_data(received)
    status, body, goes_on = 0, b"", True
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            data = await stream.receive_some()
            if not data:
                raise trio.BrokenResourceError
            parser.receive_data(data)
        elif isinstance(event, h11.Response):
            status, goes_on = event.status_code, (b"connection", b"close") not in event.headers
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return status, body, goes_on, parser.trailing_data[0]
        else:
            raise trio.BrokenResourceError
