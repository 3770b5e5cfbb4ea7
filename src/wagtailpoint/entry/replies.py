"""Sends complete replies: refusals, and answers that were held in memory."""

from wagtailpoint import headers as names
from wagtailpoint.admission.refusal import Refusal
from wagtailpoint.entry.observer import CompletedRequest
from wagtailpoint.entry.plan import Plan
from wagtailpoint.entry.request import ReplySink, without_headers
from wagtailpoint.idempotency.outcome import Answered, NotRun, Outcome, replay_outcome
from wagtailpoint.verdict import Verdict


async def send_outcome(sink: ReplySink, outcome: Outcome, plan: Plan | None) -> CompletedRequest:
    """Reply with the outcome of a keyed request."""
    if isinstance(outcome, NotRun):
        # The first caller and those that joined its attempt get the refusal unchanged.
        return await send_refusal(sink, outcome.refusal, plan)
    repeat = replay_outcome(outcome)
    if isinstance(repeat, Refusal):
        return await send_refusal(sink, repeat, plan)
    return await send_answer(sink, repeat, plan)


async def send_answer(sink: ReplySink, answer: Answered, plan: Plan | None) -> CompletedRequest:
    """Reply with a complete answer held in memory."""
    await sink.begin(status=answer.status, headers=answer.headers, verdict=Verdict.RAN)
    await sink.send(answer.body or b"")
    return CompletedRequest(plan, answer.status, Verdict.RAN, "ok")


async def send_refusal(sink: ReplySink, refusal: Refusal, plan: Plan | None) -> CompletedRequest:
    """Reply with a refusal."""
    body = refusal.body()
    length = (b"content-length", str(len(body)).encode())
    headers = [*without_headers(refusal.headers(), (names.VERDICT,)), length]
    await sink.begin(status=refusal.status, headers=headers, verdict=refusal.verdict)
    await sink.send(body)
    return CompletedRequest(plan, refusal.status, refusal.verdict, refusal.code.value)
