"""Refuses requests of workspaces over their allowance, and spends tokens for the others."""

from typing import Final, Protocol

import trio

from wagtailpoint.limits.allowance_backlog import AllowanceBacklog
from wagtailpoint.limits.allowance_sharing import SpendResult
from wagtailpoint.observe.log import admits_line, log_event
from wagtailpoint.proxy.headers import HeaderNames, header_text, header_value
from wagtailpoint.proxy.refusal import Refusal, RefusalFactory
from wagtailpoint.proxy.request_context import RequestContext
from wagtailpoint.proxy.request_log import NOT_RUN_BUDGET
from wagtailpoint.routing.table import HostRoute
from wagtailpoint.routing.workspaces import WorkspacePolicy

ALLOWANCE_WAIT_FRACTION: Final = 0.1
"""Maximum wait for the next token of the workspace, as a fraction of the route's latency objective.
"""


class Allowances(Protocol):
    """The request allowances of workspaces, which all instances share."""

    async def spend(self, workspace: str) -> SpendResult:
        """Count a request against the allowance of a workspace."""
        ...

    def known_wait_s(self, workspace: str) -> float:
        """Return for how long a workspace is known to be over its allowance, in seconds."""
        ...

    def backlog(self, workspace: str) -> AllowanceBacklog:
        """Return the callers of a workspace who wait here or were told to come back."""
        ...


class AllowanceGate:
    """Decides whether the allowance of a request's workspace permits it."""

    def __init__(
        self, *, allowances: Allowances, refusals: RefusalFactory, names: HeaderNames
    ) -> None:
        """Initialise the gate.

        Args:
            allowances: The request allowances of workspaces.
            refusals: Creates refusals.
            names: The deployment's header names.
        """
        self._allowances = allowances
        self._refusals = refusals
        self._names = names

    def known_refusal(
        self, route: HostRoute, workspace: WorkspacePolicy | None, remaining_s: float
    ) -> Refusal | None:
        """Return the refusal of a request that is known to get no token in time, or None.

        Asks no holder and spends no token, as a token of a request for which no backend server has
        room would be lost.

        Args:
            route: The route of the request.
            workspace: The workspace of the request; None if callers need no key.
            remaining_s: Seconds until the caller's deadline.
        """
        if workspace is None or workspace.allowance is None:
            return None
        wait_s = self._allowances.known_wait_s(workspace.name)
        if wait_s <= 0.0:
            return None
        queue_s = self._allowances.backlog(workspace.name).wait_for_waiting_s()
        if wait_s + queue_s <= ALLOWANCE_WAIT_FRACTION * route.objective_s:
            return None
        return self._refusal(workspace.name, SpendResult(False, wait_s, "known"), remaining_s)

    async def spend(self, context: RequestContext) -> Refusal | None:
        """Count a request against its workspace's allowance, after a short wait if necessary.

        Returns:
            The refusal if the allowance is used up or unknown, otherwise None.
        """
        workspace = context.workspace_name
        backlog = self._allowances.backlog(workspace)
        queue_s = backlog.wait_for_waiting_s()
        max_wait_s = ALLOWANCE_WAIT_FRACTION * context.route.objective_s
        backlog.begin_wait()
        try:
            spent = await self._allowances.spend(workspace)
            if not spent.granted and spent.wait_s + queue_s <= max_wait_s:
                await trio.sleep(spent.wait_s)
                spent = await self._allowances.spend(workspace)
        finally:
            backlog.end_wait()
        context.allowance_spent = spent.granted
        if spent.granted:
            return None
        if admits_line(NOT_RUN_BUDGET):
            log_event(
                "allowance-refused",
                id=header_text(header_value(context.request.headers, self._names.request_id)),
                workspace=workspace,
                told=spent.told,
                config=context.table.version,
            )
        return self._refusal(workspace, spent, context.remaining_s)

    def _refusal(self, workspace: str, spent: SpendResult, remaining_s: float) -> Refusal:
        """Return a refusal that keeps the caller away until those before it have their tokens."""
        backlog = self._allowances.backlog(workspace)
        wait_s = spent.wait_s + backlog.wait_for_claims_s()
        refusal = self._refusals.over_allowance(spent._replace(wait_s=wait_s), remaining_s)
        if refusal.is_over_allowance and refusal.retry_after_s is not None:
            backlog.record_told(refusal.retry_after_s)
        return refusal
