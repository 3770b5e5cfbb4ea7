"""The caller library: sends requests through the best entry and retries them when it is safe."""

import random
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from http import HTTPStatus
from types import TracebackType
from typing import Self

import trio

from wagtailpoint import headers as names
from wagtailpoint.admission.refusal import RefusalCode
from wagtailpoint.caller.answer import (
    Answer,
    make_answer,
    read_retry_after_s,
    read_verdict,
    refusal_code,
    with_verdict,
)
from wagtailpoint.caller.download import Download
from wagtailpoint.caller.entries import Entries, KnownEntry
from wagtailpoint.caller.exchange import (
    EntryAddress,
    Exchanges,
    FailedExchange,
    Headers,
    OpenReply,
    Outgoing,
    Reply,
)
from wagtailpoint.caller.keys import BoundKey, CallerKeys
from wagtailpoint.errors import RequestUnanswered
from wagtailpoint.retries.budget import RetryBudget
from wagtailpoint.retries.policy import MAX_ATTEMPTS, decide_retry
from wagtailpoint.verdict import Verdict

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD"})
_RETRYABLE_STATUSES = frozenset({429, 502, 503, 504})
_MIN_RETRY_DELAY_S = 0.02
_JITTER_FRACTION = 0.5
_MAX_COPIES = 6

MIN_REMAINING_FRACTION = 0.25
"""A refused key is not bound to another entry when less than this fraction of the time is left: a
new attempt that misses the deadline would turn a certain ``not-run`` into a ``may-have-run``."""


class _Monotonic:
    """Adapts trio's clock to the retry budget."""

    def monotonic(self) -> float:
        return trio.current_time()

    def wall(self) -> float:
        raise NotImplementedError("the caller library does not use a wall clock")


class Caller:
    """Sends requests of one workspace.

    Use one as an async context manager for many requests and tasks: it holds the connections, the
    cached lookup and the bindings of the idempotency keys.
    """

    def __init__(
        self,
        *,
        entries: Sequence[tuple[str, int]],
        workspace: str,
        address: str,
        retry_ratio: float = 0.2,
        retries_per_s: float = 2.0,
        connect_timeout_s: float = 0.5,
        idle_timeout_s: float = 10.0,
        most_keys: int = 10_000,
        seed: int | None = None,
    ) -> None:
        """Initialise the caller; nothing is sent yet.

        Args:
            entries: Some entry instances, as IP address and port, for the first lookup.
            workspace: The workspace of the requests.
            address: The client's IP address, which determines the nearest region.
            retry_ratio: Allowed retries as a fraction of first attempts.
            retries_per_s: Retries per second that are always allowed.
            connect_timeout_s: Maximum time to open a connection, in seconds.
            idle_timeout_s: Maximum time without data within a download, in seconds.
            most_keys: Number of idempotency keys whose bindings are stored. Do not reuse a key
                after as many newer ones, nor with another caller: it could run again.
            seed: Seed of the jitter and of the order of lookups; None for a random one.
        """
        self._workspace = workspace
        self._rng = random.Random(seed)
        self._exchanges = Exchanges(
            connect_timeout_s=connect_timeout_s, idle_timeout_s=idle_timeout_s
        )
        self._entries = Entries(
            exchanges=self._exchanges,
            seeds=[EntryAddress(*entry) for entry in entries],
            workspace=workspace,
            address=address,
            rng=self._rng,
        )
        self._keys = CallerKeys(max_keys=most_keys)
        self._budget = RetryBudget(
            clock=_Monotonic(), ratio=retry_ratio, minimum_per_s=retries_per_s
        )

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._exchanges.aclose()

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Headers = (),
        idempotency_key: str | None = None,
        deadline_s: float,
    ) -> Answer:
        """Send a request and return its whole answer, which may be a refusal.

        Args:
            method: HTTP method.
            path: Path and query.
            body: The whole body.
            headers: More headers.
            idempotency_key: Identifies a non-idempotent request, so that it can be retried. After
                ``may-have-run``, repeat the request with the same key and the same caller.
            deadline_s: Maximum time in seconds, including retries.

        Raises:
            RequestUnanswered: No complete answer within the deadline; the error has the verdict.
            NoEntryAvailable: No entry is known or answers lookups; nothing was sent.
        """
        until = trio.current_time() + deadline_s
        outgoing = self._outgoing(method, path, headers, body)
        self._budget.record_request()
        if idempotency_key is not None and method not in IDEMPOTENT_METHODS:
            return await self._send_keyed(outgoing, idempotency_key, until)
        result, entry = await self._send(outgoing, until, read_body=True)
        assert isinstance(result, Reply)
        return make_answer(result, entry.address)

    @asynccontextmanager
    async def stream(
        self, method: str, path: str, *, headers: Headers = (), deadline_s: float
    ) -> AsyncIterator[Download]:
        """Open a download; ``async for chunk in download.chunks()`` reads it.

        Args:
            method: HTTP method.
            path: Path and query.
            headers: More headers.
            deadline_s: Maximum time until the response's headers, in seconds, at the start and at
                each resumption. The body may take any time, but ``idle_timeout_s`` applies to it.

        Raises:
            RequestUnanswered: As in ``request``.
            NoEntryAvailable: As in ``request``.
        """
        outgoing = self._outgoing(method, path, headers, b"")

        async def reopen(extra: Headers) -> tuple[OpenReply | Reply, EntryAddress]:
            self._budget.record_request()
            resumed = outgoing._replace(headers=[*outgoing.headers, *extra])
            until = trio.current_time() + deadline_s
            result, entry = await self._send(resumed, until, read_body=False)
            return result, entry.address

        download = Download(outgoing=outgoing, reopen=reopen)
        await download.open()
        try:
            yield download
        finally:
            await download.aclose()

    def _outgoing(self, method: str, path: str, headers: Headers, body: bytes) -> Outgoing:
        wire_headers = [(names.WORKSPACE, self._workspace.encode()), *headers]
        return Outgoing(method, path, wire_headers, body)

    async def _send(
        self, outgoing: Outgoing, until: float, *, read_body: bool
    ) -> tuple[OpenReply | Reply, KnownEntry]:
        """Send a request without an idempotency key, with retries."""
        idempotent = outgoing.method in IDEMPOTENT_METHODS
        exchange = self._exchanges.exchange if read_body else self._exchanges.open
        tried: list[KnownEntry] = []
        while True:
            entry = await self._entries.choose(tried, until=until)
            attempt_until = _attempt_until(until, len(tried)) if idempotent else until
            result = await exchange(entry.address, outgoing, until=attempt_until)
            tried.append(entry)
            if not _is_retryable(result):
                assert not isinstance(result, FailedExchange)
                return result, entry
            if not self._may_retry(result, idempotent, len(tried), until):
                return _reply_or_raise(result), entry
            self._update_entries(entry, result)
            if not await self._wait_before_retry(result, tried, until):
                return _reply_or_raise(result), entry

    async def _send_keyed(self, outgoing: Outgoing, key: str, until: float) -> Answer:
        bound = self._keys.get(key)
        with bound.call():
            result, entry = await self._send_copies(outgoing, key, bound, until)
            return make_answer(_corrected_keyed_reply(result, bound), entry.address)

    async def _send_copies(
        self, outgoing: Outgoing, key: str, bound: BoundKey, until: float
    ) -> tuple[Reply | FailedExchange, KnownEntry]:
        tried: list[KnownEntry] = []
        last_start = until - MIN_REMAINING_FRACTION * (until - trio.current_time())
        while True:
            entry = bound.entry
            if entry is None:
                entry = bound.bind(await self._entries.choose(tried, until=until))
            receiver = await self._choose_receiver(entry, tried, until)
            bound.record_copy()
            result = await self._exchanges.exchange(
                receiver.address,
                _with_key(outgoing, key, entry.binding),
                until=_attempt_until(until, len(tried)) if entry.binding else until,
                deadline=until,
            )
            tried.append(receiver)
            result = bound.settle(entry, result, via_other_entry=receiver.address != entry.address)
            self._update_entries(receiver, result)
            if not _is_retryable(result):
                return result, receiver
            if bound.entry is None and trio.current_time() >= last_start:
                return result, receiver
            if not await self._may_send_copy(result, bound, tried, until):
                return result, receiver

    async def _choose_receiver(
        self, bound_entry: KnownEntry, tried: list[KnownEntry], until: float
    ) -> KnownEntry:
        """Return the bound entry, or another one if the last copy sent there was not answered.

        The link to the bound entry may be cut for this caller only. Another entry does not run the
        key but asks the bound entry for the outcome; the next copy goes to the bound entry again.
        """
        if not bound_entry.binding or not tried or tried[-1].address != bound_entry.address:
            return bound_entry
        alternative = await self._entries.choose([bound_entry], until=until)
        return bound_entry if alternative.address == bound_entry.address else alternative

    async def _may_send_copy(
        self, result: Reply | FailedExchange, bound: BoundKey, tried: list[KnownEntry], until: float
    ) -> bool:
        """Return whether to send another copy, after the delay before it."""
        if bound.entry is None:
            may_retry = self._may_retry(result, False, len(tried), until)
            return may_retry and await self._wait_before_retry(result, tried, until)
        # The bound entry joins the copy to the running request or repeats the stored answer: this
        # is safe and cheap, and the only way to learn the outcome. The growing delays outlast a
        # cut connection; more copies are useless, as a dead entry does not come back.
        if len(tried) >= _MAX_COPIES:
            return False
        return await self._sleep_with_jitter(_MIN_RETRY_DELAY_S * 2 ** len(tried), until)

    def _update_entries(
        self, entry: KnownEntry, result: OpenReply | Reply | FailedExchange
    ) -> None:
        if isinstance(result, FailedExchange):
            self._entries.mark_suspect(entry.address)
        elif result.status == HTTPStatus.CONFLICT:
            # A retryable conflict means an outdated binding, so the cached lookup is stale.
            self._entries.mark_stale()
        elif _is_leaving(result):
            self._entries.mark_suspect(entry.address)
            self._entries.mark_stale()

    def _may_retry(
        self,
        result: OpenReply | Reply | FailedExchange,
        idempotent: bool,
        attempts: int,
        until: float,
    ) -> bool:
        verdict = _verdict(result)
        decision = decide_retry(
            idempotent=idempotent,
            verdict=verdict,
            response_started=False,
            attempts=attempts,
            remaining_s=until - trio.current_time(),
            budget=self._budget,
        )
        return decision.allowed

    async def _wait_before_retry(
        self, result: OpenReply | Reply | FailedExchange, tried: list[KnownEntry], until: float
    ) -> bool:
        """Wait as long as the refusal asks for; return False if the deadline is before that."""
        next_entry = await self._entries.choose(tried, until=until)
        if next_entry.failure_domain not in {entry.failure_domain for entry in tried}:
            return True
        if _is_leaving(result) and next_entry.address not in {entry.address for entry in tried}:
            return True
        delay_s = _MIN_RETRY_DELAY_S
        if isinstance(result, Reply):
            delay_s = max(delay_s, read_retry_after_s(result.headers))
        return await self._sleep_with_jitter(delay_s, until)

    async def _sleep_with_jitter(self, delay_s: float, until: float) -> bool:
        # Without jitter, callers that were refused together would retry together.
        delay_s *= 1 + _JITTER_FRACTION * self._rng.random()
        if trio.current_time() + delay_s >= until:
            return False
        await trio.sleep(delay_s)
        return True


def _attempt_until(until: float, attempts: int) -> float:
    """Return the end of an attempt, which leaves half of the time in case the entry is frozen."""
    if attempts + 1 >= MAX_ATTEMPTS:
        return until
    now = trio.current_time()
    return now + (until - now) / 2


def _with_key(outgoing: Outgoing, key: str, binding: str) -> Outgoing:
    wire_headers = [*outgoing.headers, (names.IDEMPOTENCY_KEY, key.encode())]
    if binding:
        wire_headers.append((names.BINDING, binding.encode()))
    return outgoing._replace(headers=wire_headers)


def _verdict(result: OpenReply | Reply | FailedExchange) -> Verdict:
    if isinstance(result, FailedExchange):
        return Verdict.MAY_HAVE_RUN if result.sent else Verdict.NOT_RUN
    return read_verdict(result.headers)


def _is_retryable(result: OpenReply | Reply | FailedExchange) -> bool:
    if isinstance(result, FailedExchange):
        return True
    verdict = read_verdict(result.headers)
    if result.status == HTTPStatus.CONFLICT:
        return verdict is Verdict.NOT_RUN or _cannot_learn_outcome(result)
    if _code(result) == RefusalCode.QUARANTINED.value:
        # All entries refuse a quarantined request.
        return False
    return result.status in _RETRYABLE_STATUSES and verdict is not Verdict.RAN


def _cannot_learn_outcome(result: OpenReply | Reply) -> bool:
    """Return whether an entry other than the bound one could not learn the key's outcome."""
    return _code(result) == RefusalCode.OTHER_INCARNATION.value


def _is_leaving(result: OpenReply | Reply | FailedExchange) -> bool:
    """Return whether an entry refused the request because it stops, which others may not do."""
    return not isinstance(result, FailedExchange) and _code(result) == RefusalCode.LEAVING.value


def _code(result: OpenReply | Reply) -> str | None:
    return refusal_code(result.status, result.body if isinstance(result, Reply) else b"")


def _reply_or_raise(result: OpenReply | Reply | FailedExchange) -> OpenReply | Reply:
    if isinstance(result, FailedExchange):
        raise RequestUnanswered(verdict=_verdict(result), reason=result.reason)
    return result


def _corrected_keyed_reply(result: Reply | FailedExchange, bound: BoundKey) -> Reply:
    if isinstance(result, FailedExchange):
        # A copy that was not sent shows nothing about an earlier one that was.
        verdict = Verdict.NOT_RUN if bound.is_not_run_certain else Verdict.MAY_HAVE_RUN
        raise RequestUnanswered(verdict=verdict, reason=result.reason)
    if read_verdict(result.headers) is Verdict.NOT_RUN and not bound.is_not_run_certain:
        return with_verdict(result, Verdict.MAY_HAVE_RUN)
    return result
