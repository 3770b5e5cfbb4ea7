"""A request on its way: what is known of it, what was tried, what became of it."""

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
"""With these no byte of the request has left."""


class Outcome(NamedTuple):
    """What became of a request.

    Attributes:
        status: The status that the caller got.
        result: One word for logs and metrics.
        verdict: Whether it may have run.
    """

    status: int
    result: str
    verdict: Verdict


class Failure(NamedTuple):
    """A send to a backend server that gave no answer to pass on."""

    server_id: str
    verdict: Verdict
    reason: str


class RequestContext:
    """A request on its way, with what was tried.

    Attributes:
        key: The digest of the caller's key; None if it sent none.
        workspace: Whose request it is; None if callers need no key.
        allowance_spent: It was counted against the workspace's allowance.
        tried_servers: Backend servers that it was given to, by id.
        send_count: Of these, how many may have seen it.
        failures: The sends that gave no answer to pass on.
        failed_reply: The last failure of a backend server's own, should there be nothing better.
        last_choice: The last choice, for the log.
        load_report: The load that the last answer told, for the log.
        declined: The backend servers that had no room in the end, for the log.
        connect_s: How long the sends waited for connections to open, in seconds, for the log.
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
        self.body = ReadBody(b"", None)
        self._fingerprint = ""
        self.tried_servers: list[str] = []
        self.send_count = 0
        self.failures: list[Failure] = []
        self.failed_reply: BackendReply | None = None
        self.last_choice: Choice | None = None
        self.load_report = b""
        self.declined: Sequence[Declined] = ()
        self.connect_s = 0.0

    @property
    def workspace_name(self) -> str:
        """The name of the workspace; empty if callers need no key."""
        return self.workspace.name if self.workspace is not None else ""

    @property
    def fingerprint(self) -> str:
        """The same for every repeat of the request; to be asked for once its body was read."""
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
        """What is told of a backend server that crashed while it had the request."""
        return CrashReport(
            fingerprint=self.fingerprint,
            method=self.request.method,
            host=header_text(header_value(self.request.headers, b"host")),
            target=self.request.target,
            starts=(start,),
        )

    @property
    def remaining_s(self) -> float:
        """Seconds left until the deadline."""
        return self.deadline - trio.current_time()

    @property
    def verdict(self) -> Verdict:
        """Whether any of the sends may have run."""
        if all(each.verdict is Verdict.NOT_RUN for each in self.failures):
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN

    def record_failure(self, server_id: str, verdict: Verdict, reason: str) -> None:
        """A send is over without an answer to pass on."""
        self.failures.append(Failure(server_id, verdict, reason))
