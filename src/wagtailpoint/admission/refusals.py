"""The refusals of admission; all of them are certain not to have run."""

from http import HTTPStatus

from wagtailpoint.admission.refusal import Refusal, RefusalCode, refuse


def refuse_slot(pool: str, request_class: str, why: str, retry_after_s: float) -> Refusal:
    """There is no slot for this class now."""
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.NO_SLOT,
        f"all slots of {pool} that class {request_class} may use are taken: {why}",
        retry_after_s,
    )


def refuse_server(pool: str, retry_after_s: float) -> Refusal:
    """No backend server takes new work."""
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.NO_BACKEND_SERVER,
        f"{pool} has no backend server that takes new work",
        retry_after_s,
    )


def refuse_workspace(workspace: str, max_rps: float | None, retry_after_s: float) -> Refusal:
    """The workspace sends more than it may."""
    return refuse(
        HTTPStatus.TOO_MANY_REQUESTS,
        RefusalCode.WORKSPACE_LIMIT,
        f"workspace {workspace} sends more than this instance's part of its limit of "
        f"{max_rps:g} requests a second; spread the requests, or raise max_rps",
        retry_after_s,
    )
