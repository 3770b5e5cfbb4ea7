"""The caller library: requests through the best entry, repeated when and only when they may be."""

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
    Broken,
    EntryAddress,
    Exchanges,
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
_COME_BACK_STATUSES = frozenset({429, 502, 503, 504})
_LEAST_PAUSE_S = 0.02
_JITTER = 0.5
_MOST_COPIES = 6

LEAST_PART_OF_TIME = 0.25
"""A key that was refused is not bound anew when less than this part of the time is left: a new
attempt that does not end in time would make a certain ``not-run`` into a ``may-have-run``."""


class _Monotonic:
    """The clock of the retry budget."""

    def monotonic(self) -> float:
        return trio.current_time()

    def wall(self) -> float:
        raise NotImplementedError("the caller needs no wall clock")


class Caller:
    """Sends requests of one workspace.

    Use as an async context manager, for a long time and by many tasks: it holds the connections,
    the lookup's answer and the bindings of the keys.
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
        """Make a caller; nothing is sent yet.

        Args:
            entries: Some entry instances, as IP number and port, for the first lookup.
            workspace: The workspace whose requests these are.
            address: The client's IP number, from which the nearest region is found.
            retry_ratio: Retries allowed as a part of fresh requests.
            retries_per_s: Retries a second that are always allowed.
            connect_timeout_s: The longest wait for a connection, in seconds.
            idle_timeout_s: The longest silence within a download, in seconds.
            most_keys: The idempotency keys whose bindings are remembered. Do not repeat a key
                after as many newer ones, nor with another caller: it could run again.
            seed: Of the jitter; None for a random one.
        """
        self._workspace = workspace
        self._chance = random.Random(seed)
        self._exchanges = Exchanges(
            connect_timeout_s=connect_timeout_s, idle_timeout_s=idle_timeout_s
        )
        self._entries = Entries(
            exchanges=self._exchanges,
            seeds=[EntryAddress(*entry) for entry in entries],
            workspace=workspace,
            address=address,
            chance=self._chance,
        )
        self._keys = CallerKeys(most_keys=most_keys)
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
            idempotency_key: Names a non-idempotent request, so that it may be repeated. To go on
                after ``may-have-run``, repeat it with the same key and caller.
            deadline_s: Seconds for everything, retries included.

        Raises:
            RequestUnanswered: No whole answer within the deadline; it carries the verdict.
            NoEntryAvailable: No entry is known or answers; nothing was sent.
        """
        until = trio.current_time() + deadline_s
        outgoing = self._outgoing(method, path, headers, body)
        self._budget.record_request()
        if idempotency_key is not None and method not in IDEMPOTENT_METHODS:
            return await self._send_keyed(outgoing, idempotency_key, until)
        result, entry = await self._send(outgoing, until, whole=True)
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
            deadline_s: Seconds until the response's headers, at the start and at each resumption;
                the body may take any time but must not fall silent.

        Raises:
            RequestUnanswered: As in ``request``.
            NoEntryAvailable: As in ``request``.
        """
        outgoing = self._outgoing(method, path, headers, b"")

        async def reopen(extra: Headers) -> tuple[OpenReply | Reply, EntryAddress]:
            self._budget.record_request()
            wanted = outgoing._replace(headers=[*outgoing.headers, *extra])
            until = trio.current_time() + deadline_s
            result, entry = await self._send(wanted, until, whole=False)
            return result, entry.address

        download = Download(outgoing=outgoing, reopen=reopen)
        await download.open()
        try:
            yield download
        finally:
            await download.aclose()

    def _outgoing(self, method: str, path: str, headers: Headers, body: bytes) -> Outgoing:
        wire = [(names.WORKSPACE, self._workspace.encode()), *headers]
        return Outgoing(method, path, wire, body)

    async def _send(
        self, outgoing: Outgoing, until: float, *, whole: bool
    ) -> tuple[OpenReply | Reply, KnownEntry]:
        """Send a request without a key."""
        idempotent = outgoing.method in IDEMPOTENT_METHODS
        exchange = self._exchanges.exchange if whole else self._exchanges.open
        tried: list[KnownEntry] = []
        while True:
            entry = await self._entries.choose(tried, until=until)
            attempt_until = _attempt_until(until, len(tried)) if idempotent else until
            result = await exchange(entry.address, outgoing, until=attempt_until)
            tried.append(entry)
            if not _worth_repeating(result):
                assert not isinstance(result, Broken)
                return result, entry
            if not self._may_repeat(result, idempotent, len(tried), until):
                return _give_up(result), entry
            self._note_entry(entry, result)
            if not await self._pause(result, tried, until):
                return _give_up(result), entry

    async def _send_keyed(self, outgoing: Outgoing, key: str, until: float) -> Answer:
        bound = self._keys.get(key)
        with bound.call():
            result, entry = await self._send_copies(outgoing, key, bound, until)
            return make_answer(_sure_keyed(result, bound), entry.address)

    async def _send_copies(
        self, outgoing: Outgoing, key: str, bound: BoundKey, until: float
    ) -> tuple[Reply | Broken, KnownEntry]:
        tried: list[KnownEntry] = []
        last_start = until - LEAST_PART_OF_TIME * (until - trio.current_time())
        while True:
            entry = bound.entry
            if entry is None:
                entry = bound.bind(await self._entries.choose(tried, until=until))
            asked = await self._whom_to_ask(entry, tried, until)
            bound.note_copy()
            result = await self._exchanges.exchange(
                asked.address,
                _with_key(outgoing, key, entry.binding),
                until=_attempt_until(until, len(tried)) if entry.binding else until,
                deadline=until,
            )
            tried.append(asked)
            result = bound.settle(entry, result, elsewhere=asked.address != entry.address)
            self._note_entry(asked, result)
            if not _worth_repeating(result):
                return result, asked
            if bound.entry is None and trio.current_time() >= last_start:
                return result, asked
            if not await self._may_send_copy(result, bound, tried, until):
                return result, asked

    async def _whom_to_ask(
        self, bound_to: KnownEntry, tried: list[KnownEntry], until: float
    ) -> KnownEntry:
        """Return the bound entry, or another one when the last copy there was not answered.

        The link to the bound entry may be cut for this caller only. Another entry never runs the
        key, but asks the bound one how it ended; after that it is the bound entry's turn again.
        """
        if not bound_to.binding or not tried or tried[-1].address != bound_to.address:
            return bound_to
        other = await self._entries.choose([bound_to], until=until)
        return bound_to if other.address == bound_to.address else other

    async def _may_send_copy(
        self, result: Reply | Broken, bound: BoundKey, tried: list[KnownEntry], until: float
    ) -> bool:
        """Decide on another copy, and wait for its time."""
        if bound.entry is None:
            may = self._may_repeat(result, False, len(tried), until)
            return may and await self._pause(result, tried, until)
        # The bound entry joins or repeats: safe and cheap, and the only way to learn the outcome.
        # A little patience outlasts a cut connection; a dead entry does not come back.
        if len(tried) >= _MOST_COPIES:
            return False
        return await self._sleep(_LEAST_PAUSE_S * 2 ** len(tried), until)

    def _note_entry(self, entry: KnownEntry, result: OpenReply | Reply | Broken) -> None:
        if isinstance(result, Broken):
            self._entries.suspect(entry.address)
        elif result.status == HTTPStatus.CONFLICT:
            # A conflict that may be repeated is an old binding: so the lookup's answer is old.
            self._entries.outdate()

    def _may_repeat(
        self, result: OpenReply | Reply | Broken, idempotent: bool, attempts: int, until: float
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

    async def _pause(
        self, result: OpenReply | Reply | Broken, tried: list[KnownEntry], until: float
    ) -> bool:
        """Wait before a repeat as the refusal asks; False if the deadline is too near for it."""
        best = await self._entries.choose(tried, until=until)
        if best.failure_domain not in {entry.failure_domain for entry in tried}:
            return True
        wanted_s = _LEAST_PAUSE_S
        if isinstance(result, Reply):
            wanted_s = max(wanted_s, read_retry_after_s(result.headers))
        return await self._sleep(wanted_s, until)

    async def _sleep(self, wanted_s: float, until: float) -> bool:
        # Jitter: callers refused together would otherwise come back together.
        wanted_s *= 1 + _JITTER * self._chance.random()
        if trio.current_time() + wanted_s >= until:
            return False
        await trio.sleep(wanted_s)
        return True


def _attempt_until(until: float, attempts: int) -> float:
    """Leave half of the time for a repeat, in case the entry is frozen."""
    if attempts + 1 >= MAX_ATTEMPTS:
        return until
    now = trio.current_time()
    return now + (until - now) / 2


def _with_key(outgoing: Outgoing, key: str, binding: str) -> Outgoing:
    wire = [*outgoing.headers, (names.IDEMPOTENCY_KEY, key.encode())]
    if binding:
        wire.append((names.BINDING, binding.encode()))
    return outgoing._replace(headers=wire)


def _verdict(result: OpenReply | Reply | Broken) -> Verdict:
    if isinstance(result, Broken):
        return Verdict.MAY_HAVE_RUN if result.sent else Verdict.NOT_RUN
    return read_verdict(result.headers)


def _worth_repeating(result: OpenReply | Reply | Broken) -> bool:
    if isinstance(result, Broken):
        return True
    verdict = read_verdict(result.headers)
    if result.status == HTTPStatus.CONFLICT:
        return verdict is Verdict.NOT_RUN or _knows_nothing(result)
    if _code(result) == RefusalCode.QUARANTINED.value:
        # All entries refuse it.
        return False
    return result.status in _COME_BACK_STATUSES and verdict is not Verdict.RAN


def _knows_nothing(result: OpenReply | Reply) -> bool:
    """Whether another entry than the bound one could not learn how the key ended."""
    return _code(result) == RefusalCode.OTHER_INCARNATION.value


def _code(result: OpenReply | Reply) -> str | None:
    return refusal_code(result.status, result.body if isinstance(result, Reply) else b"")


def _give_up(result: OpenReply | Reply | Broken) -> OpenReply | Reply:
    if isinstance(result, Broken):
        raise RequestUnanswered(verdict=_verdict(result), reason=result.reason)
    return result


def _sure_keyed(result: Reply | Broken, bound: BoundKey) -> Reply:
    if isinstance(result, Broken):
        # A copy that never left says nothing of an earlier one that did.
        verdict = Verdict.NOT_RUN if bound.certain else Verdict.MAY_HAVE_RUN
        raise RequestUnanswered(verdict=verdict, reason=result.reason)
    if read_verdict(result.headers) is Verdict.NOT_RUN and not bound.certain:
        return with_verdict(result, Verdict.MAY_HAVE_RUN)
    return result
