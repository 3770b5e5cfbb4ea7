"""The state of a request while it is dispatched, and its outcome."""

import math
from collections.abc import Sequence
from typing import Final, NamedTuple

import trio

from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.fingerprint import fingerprint
from wagtailpoint.placement.choice import Choice, Declined
from wagtailpoint.ports.backend import FailureReason
from wagtailpoint.proxy.backend_connection import BackendReply
from wagtailpoint.proxy.caller_exchange import IncomingRequest, ReadBody
from wagtailpoint.proxy.headers import header_text, header_value
from wagtailpoint.quarantine.quarantine import CrashReport
from wagtailpoint.routing.table import HostRoute, RouteTable
from wagtailpoint.routing.workspaces import AUTHORIZATION, WorkspacePolicy
from wagtailpoint.verdict import Verdict

CONNECT_FAILURES: Final = frozenset(
    (
        FailureReason.CONNECT_REFUSED,
        FailureReason.CONNECT_FAILED,
        FailureReason.CONNECT_TIMEOUT,
    )
)
"""Failures to open a connection: no byte of the request has been sent."""


class Outcome(NamedTuple):
    """The outcome of a request.

    Attributes:
        status: The status sent to the caller; 0 if the caller left before a reply.
        result: A short code for logs and metrics.
        verdict: Whether the request may have run.
    """

    status: int
    result: str
    verdict: Verdict


class Failure(NamedTuple):
    """A send to a backend server that gave no response to forward."""

    server_id: str
    verdict: Verdict
    reason: str


class RequestContext:
    """The state of a request while it is dispatched.

    Attributes:
        request: The head of the request.
        table: The route table by which the request is served.
        route: The route of the request.
        service: The service chosen from the route.
        key: The digest of the caller's API key; None if the caller sent none.
        workspace: The workspace of the request; None if callers need no key.
        allowance_spent: Whether the request was counted against the workspace's allowance, or needs
            none.
        deadline: Trio time by which the reply is due, in seconds.
        caller_deadline: Trio time until which the caller waits, in seconds, which may be later than
            ``deadline``. It is earlier for a retry than for a first attempt.
        process_ends_at: Trio time by which backend servers have to answer since a planned stop ends
            the process, in seconds; infinite without a stop.
        body: The part of the body that was read ahead.
        tried_servers: The ids of the backend servers chosen for sends so far.
        send_count: The number of sends that may have reached a backend server.
        may_have_run_on: The ids of the backend servers that got the request, without those that
            stated that they did not run it.
        has_answer: Whether the answer for the caller is known and only has to be sent.
        failures: The sends that gave no response to forward.
        failed_reply: The last error response of a backend server, forwarded if no send succeeds.
        last_choice: The last chosen backend server, for the log.
        load_report: The load report of the last response, for the log.
        declined: The backend servers that had no room at the last choice, for the log.
        connect_s: The total time spent on opening connections, in seconds, for the log.
        room_wait_s: The total time spent waiting for room at a backend server, in seconds.
        relay: The instance that relayed the last send and the number of the connection there, for
            the log; empty if the send was direct.
    """

    def __init__(
        self,
        *,
        request: IncomingRequest,
        table: RouteTable,
        route: HostRoute,
        service: str,
        key: bytes | None,
        workspace: WorkspacePolicy | None,
    ) -> None:
        self.request = request
        self.table = table
        self.route = route
        self.service = service
        self.key = key
        self.workspace = workspace
        self.allowance_spent = workspace is None or workspace.allowance is None
        self.deadline = 0.0
        self.caller_deadline = 0.0
        self.process_ends_at = math.inf
        self.body = ReadBody(b"", None)
        self._fingerprint = ""
        self.tried_servers: list[str] = []
        self.send_count = 0
        self.may_have_run_on: set[str] = set()
        self.has_answer = False
        self.failures: list[Failure] = []
        self.failed_reply: BackendReply | None = None
        self.last_choice: Choice | None = None
        self.load_report = b""
        self.declined: Sequence[Declined] = ()
        self.connect_s = 0.0
        self.room_wait_s = 0.0
        self.relay = ""

    @property
    def workspace_name(self) -> str:
        """The name of the workspace; empty if callers need no key."""
        return self.workspace.name if self.workspace is not None else ""

    @property
    def fingerprint(self) -> str:
        """The fingerprint, equal for every retry of the request; valid once the body was read."""
        if not self._fingerprint:
            headers = self.request.headers
            self._fingerprint = fingerprint(
                method=self.request.method,
                host=header_text(header_value(headers, b"host")),
                target=self.request.target,
                body=self.body.read,
                credentials=self.workspace_name.encode()
                or header_value(headers, AUTHORIZATION)
                or b"",
            )
        return self._fingerprint

    def crash_report(self, start: ServerStart) -> CrashReport:
        """Return the report on a backend server that crashed while it had the request."""
        return CrashReport(
            fingerprint=self.fingerprint,
            method=self.request.method,
            host=header_text(header_value(self.request.headers, b"host")),
            target=self.request.target,
            starts=(start,),
        )

    @property
    def remaining_s(self) -> float:
        """The time left until the deadline, in seconds."""
        return self.deadline - trio.current_time()

    @property
    def server_remaining_s(self) -> float:
        """The time that a backend server has to answer, in seconds."""
        return min(self.deadline, self.process_ends_at) - trio.current_time()

    @property
    def verdict(self) -> Verdict:
        """``NOT_RUN`` if no backend server can have run it, otherwise ``MAY_HAVE_RUN``."""
        if not self.may_have_run_on and all(
            failure.verdict is Verdict.NOT_RUN for failure in self.failures
        ):
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN

    def record_failure(self, server_id: str, verdict: Verdict, reason: str) -> None:
        """Record a send that gave no response to forward."""
        self.failures.append(Failure(server_id, verdict, reason))
