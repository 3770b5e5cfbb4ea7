"""Refusals by admission control; a request refused here certainly did not run."""

from http import HTTPStatus

from wagtailpoint.admission.refusal import Refusal, RefusalCode, refuse


def refuse_slot(pool: str, request_class: str, cause: str, retry_after_s: float) -> Refusal:
    """Return a refusal because no slot is available to the class."""
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.NO_SLOT,
        f"all slots of {pool} that class {request_class} may use are taken: {cause}",
        retry_after_s,
    )


def refuse_server(pool: str, retry_after_s: float) -> Refusal:
    """Return a refusal because no backend server accepts new requests."""
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.NO_BACKEND_SERVER,
        f"{pool} has no backend server that takes new work",
        retry_after_s,
    )


def refuse_workspace(workspace: str, max_rps: float | None, retry_after_s: float) -> Refusal:
    """Return a refusal because the workspace exceeds its rate limit."""
    return refuse(
        HTTPStatus.TOO_MANY_REQUESTS,
        RefusalCode.WORKSPACE_LIMIT,
        f"workspace {workspace} sends more than this instance's part of its limit of "
        f"{max_rps:g} requests a second; spread the requests, or raise max_rps",
        retry_after_s,
    )
