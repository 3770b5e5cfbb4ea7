"""What a response tells of the backend server that sent it."""

from wagtailpoint.discovery.entries import MAX_COLD_S
from wagtailpoint.placement.choice import Observation
from wagtailpoint.placement.load_report import LoadReport
from wagtailpoint.proxy.backend_connection import BackendReply
from wagtailpoint.proxy.headers import HeaderNames, header_value
from wagtailpoint.untrusted_input import parse_count


def observe_reply(
    reply: BackendReply, names: HeaderNames, latency_s: float, report: LoadReport | None
) -> Observation:
    """Return the observation of a response that came after ``latency_s`` seconds."""
    cold = parse_count(header_value(reply.headers, names.cold_ms) or b"") or 0
    return Observation(
        latency_s=latency_s,
        reply_bytes=len(reply.body),
        failed=reply.status >= 500 and not reply.not_run,
        shed=reply.not_run,
        report=report,
        cold_s=cold / 1000 if cold <= MAX_COLD_S * 1000 else 0.0,
    )
