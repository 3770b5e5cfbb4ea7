"""Queries to the instance that a key is bound to for the outcome of the key.

A caller that has lost the connection to its bound entry retries at another entry. Only the bound
incarnation knows whether the request ran. If that process is alive, a query turns "may have run"
into the answer or into a proven "not run": the query itself forbids the key there, so that no
delayed copy of the request can run.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import trio
from result import Ok

from wagtailpoint.admission.refusal import Refusal, RefusalCode, refuse
from wagtailpoint.idempotency.binding import Binding
from wagtailpoint.idempotency.keys import KeyStore, RequestKey
from wagtailpoint.idempotency.outcome import Answered, MayHaveRun, NotRun, Outcome
from wagtailpoint.ports.peers import PeerAddress, Peers, Received, register_message

REPLY_TIMEOUT_S = 0.5
"""A live instance replies at once, even if the key is still in flight there."""

MAX_WAIT_S = 60.0
"""Maximum time that an instance waits for a key in flight before it replies to a peer."""

FORBIDDEN_RETRY_AFTER_S = 0.0


class SettleKey(NamedTuple):
    """Asks the bound incarnation to forbid a key, or to reply with its outcome."""

    workspace: str
    key: str
    incarnation: str
    epoch: int
    attempt: int


class AwaitKey(NamedTuple):
    """Asks the same as ``SettleKey``, with the reply delayed until the key is not in flight."""

    workspace: str
    key: str
    incarnation: str
    epoch: int
    attempt: int


class AwaitClaimedKey(NamedTuple):
    """Asks the holder of a claim for the outcome of an unbound key, once it is not in flight."""

    workspace: str
    key: str


class KeyInFlight(NamedTuple):
    """Reply that the key is in flight; ``AwaitKey`` gets its outcome."""


class KeyUnsettled(NamedTuple):
    """Reply that the key is not remembered, or did not finish in time."""


class KeyForbidden(NamedTuple):
    """Reply that the key did not run and never will under this binding."""


class KeyMayHaveRun(NamedTuple):
    """Reply that the key was dispatched, but no complete answer was received."""

    reason: str


class KeyAnswered(NamedTuple):
    """Reply with the answer of the key; ``body`` is None if it is not kept."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | None


KeySettled = KeyInFlight | KeyUnsettled | KeyForbidden | KeyMayHaveRun | KeyAnswered

register_message("settle-key", SettleKey)
register_message("await-key", AwaitKey)
register_message("await-claimed-key", AwaitClaimedKey)
register_message("key-in-flight", KeyInFlight)
register_message("key-unsettled", KeyUnsettled)
register_message("key-forbidden", KeyForbidden)
register_message("key-may-have-run", KeyMayHaveRun)
register_message("key-answered", KeyAnswered)


class BoundEntries:
    """Asks other instances for the outcomes of keys, and replies to their queries."""

    def __init__(
        self,
        *,
        peers: Peers,
        keys: KeyStore,
        locate: Callable[[str], PeerAddress | None],
        nursery: trio.Nursery,
    ) -> None:
        """Register the handlers of queries from other instances.

        Args:
            peers: The links to the other instances.
            keys: The key store of this instance.
            locate: Returns the address of an incarnation; None if it is not believed alive.
            nursery: Runs the tasks that wait for keys in flight.
        """
        self._peers = peers
        self._keys = keys
        self._locate = locate
        self._nursery = nursery
        peers.handle(SettleKey, self._on_settle)
        peers.handle(AwaitKey, self._on_await)
        peers.handle(AwaitClaimedKey, self._on_await_claimed)

    async def settle(self, key: RequestKey, binding: Binding, *, wait_s: float) -> Outcome | None:
        """Ask the bound incarnation for the outcome of a key; None if unknown or unanswered.

        Args:
            key: The key.
            binding: The binding that the caller sent.
            wait_s: The maximum wait for a key in flight there, in seconds.
        """
        address = self._locate(binding.incarnation)
        if address is None:
            return None
        question = SettleKey(key.workspace, key.key, *binding)
        replied = await self._peers.request(address, question, timeout_s=REPLY_TIMEOUT_S)
        if isinstance(replied, Ok) and isinstance(replied.ok_value, KeyInFlight):
            # A single query with the timeout ``wait_s`` would delay the callers of a dead entry
            # until their deadlines.
            wait = AwaitKey(*question)
            replied = await self._peers.request(address, wait, timeout_s=wait_s)
        return _from_message(replied.ok_value) if isinstance(replied, Ok) else None

    async def await_claimed(
        self, key: RequestKey, incarnation: str, *, wait_s: float
    ) -> Answered | MayHaveRun | None:
        """Ask the holder of a claim for the outcome of a key; None if unknown or unanswered."""
        address = self._locate(incarnation)
        if address is None:
            return None
        question = AwaitClaimedKey(key.workspace, key.key)
        replied = await self._peers.request(address, question, timeout_s=wait_s)
        outcome = _from_message(replied.ok_value) if isinstance(replied, Ok) else None
        return None if isinstance(outcome, NotRun) else outcome

    def _on_settle(self, received: Received) -> KeySettled:
        return self._settled(received.message)

    def _on_await(self, received: Received) -> None:
        self._nursery.start_soon(self._reply_settled, received)

    def _on_await_claimed(self, received: Received) -> None:
        self._nursery.start_soon(self._reply_claimed, received)

    async def _reply_settled(self, received: Received) -> None:
        question: AwaitKey = received.message
        attempt = self._keys.in_flight(RequestKey(question.workspace, question.key))
        if attempt is not None:
            with trio.move_on_after(MAX_WAIT_S):
                await attempt.wait()
        self._peers.reply(received, self._settled(question))

    async def _reply_claimed(self, received: Received) -> None:
        question: AwaitClaimedKey = received.message
        key = RequestKey(question.workspace, question.key)
        outcome = self._keys.outcome(key)
        attempt = self._keys.in_flight(key)
        if attempt is not None:
            with trio.move_on_after(MAX_WAIT_S):
                outcome = await attempt.wait()
        # The refusal of a copy without a binding holds for that copy only.
        reply = KeyUnsettled() if isinstance(outcome, NotRun) else _to_message(outcome)
        self._peers.reply(received, reply)

    def _settled(self, question: SettleKey | AwaitKey) -> KeySettled:
        key = RequestKey(question.workspace, question.key)
        binding = Binding(question.incarnation, question.epoch, question.attempt)
        outcome = self._keys.forbid(key, binding)
        if outcome is None and self._keys.in_flight(key) is not None:
            return KeyInFlight()
        return _to_message(outcome)


def _to_message(outcome: Outcome | None) -> KeySettled:
    match outcome:
        case Answered(status, headers, body):
            return KeyAnswered(status, tuple(headers), body)
        case MayHaveRun(reason):
            return KeyMayHaveRun(reason)
        case NotRun():
            return KeyForbidden()
        case None:
            return KeyUnsettled()


def _from_message(settled: KeySettled) -> Outcome | None:
    match settled:
        case KeyAnswered(status, headers, body):
            return Answered(status, headers, body)
        case KeyMayHaveRun(reason):
            return MayHaveRun(reason)
        case KeyForbidden():
            return NotRun(_forbidden())
        case KeyInFlight() | KeyUnsettled():
            return None


def _forbidden() -> Refusal:
    return refuse(
        HTTPStatus.CONFLICT,
        RefusalCode.KEY_REFUSED,
        "the key is bound to another entry, which has not run it and never will; "
        "look up again and send the request with a new binding",
        FORBIDDEN_RETRY_AFTER_S,
    )
