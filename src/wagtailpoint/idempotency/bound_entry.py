"""Asks the instance that a key is bound to how the key ended.

A caller that lost its bound entry repeats the request elsewhere. Nobody but the bound incarnation
knows whether it ran. If that process still lives, asking it turns "may have run" into its answer,
or into a proven "not run": the question itself forbids the key there, so that no late copy runs.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from result import Ok

from wagtailpoint.admission.refusal import Refusal, RefusalCode
from wagtailpoint.idempotency.binding import Binding
from wagtailpoint.idempotency.keys import KeyStore, RequestKey
from wagtailpoint.idempotency.outcome import Answered, MayHaveRun, NotRun, Outcome
from wagtailpoint.ports.peers import PeerAddress, Peers, Received, register_message
from wagtailpoint.verdict import Verdict

REPLY_TIMEOUT_S = 0.5
FORBIDDEN_RETRY_AFTER_S = 0.0


class SettleKey(NamedTuple):
    """Asks the bound incarnation to forbid a key, or to say how it ended."""

    workspace: str
    key: str
    incarnation: str
    epoch: int
    attempt: int


class KeyUnsettled(NamedTuple):
    """The key is in flight, or no longer remembered."""


class KeyForbidden(NamedTuple):
    """The key did not run and never will under this binding."""


class KeyMayHaveRun(NamedTuple):
    """The key was dispatched, and no whole answer came back."""

    reason: str


class KeyAnswered(NamedTuple):
    """The key ran and was answered; ``body`` is None if it is no longer kept."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | None


KeySettled = KeyUnsettled | KeyForbidden | KeyMayHaveRun | KeyAnswered

register_message("settle-key", SettleKey)
register_message("key-unsettled", KeyUnsettled)
register_message("key-forbidden", KeyForbidden)
register_message("key-may-have-run", KeyMayHaveRun)
register_message("key-answered", KeyAnswered)


class BoundEntries:
    """Answers such questions for this instance, and asks others."""

    def __init__(
        self,
        *,
        peers: Peers,
        keys: KeyStore,
        locate: Callable[[str], PeerAddress | None],
    ) -> None:
        """Make it and answer from now on.

        Args:
            peers: The links to the other instances.
            keys: The keys of this instance.
            locate: Where an incarnation is heard, if it is believed to be alive.
        """
        self._peers = peers
        self._keys = keys
        self._locate = locate
        peers.handle(SettleKey, self._on_settle)

    async def settle(self, key: RequestKey, binding: Binding) -> Outcome | None:
        """Ask the bound incarnation; None if it does not know or does not answer."""
        address = self._locate(binding.incarnation)
        if address is None:
            return None
        question = SettleKey(key.workspace, key.key, *binding)
        replied = await self._peers.request(address, question, timeout_s=REPLY_TIMEOUT_S)
        return _outcome(replied.ok_value) if isinstance(replied, Ok) else None

    def _on_settle(self, received: Received) -> KeySettled:
        asked: SettleKey = received.message
        binding = Binding(asked.incarnation, asked.epoch, asked.attempt)
        match self._keys.forbid(RequestKey(asked.workspace, asked.key), binding):
            case Answered(status, headers, body):
                return KeyAnswered(status, tuple(headers), body)
            case MayHaveRun(reason):
                return KeyMayHaveRun(reason)
            case NotRun():
                return KeyForbidden()
            case None:
                return KeyUnsettled()


def _outcome(settled: KeySettled) -> Outcome | None:
    match settled:
        case KeyAnswered(status, headers, body):
            return Answered(status, headers, body)
        case KeyMayHaveRun(reason):
            return MayHaveRun(reason)
        case KeyForbidden():
            return NotRun(_forbidden())
        case KeyUnsettled():
            return None


def _forbidden() -> Refusal:
    return Refusal(
        HTTPStatus.CONFLICT,
        RefusalCode.KEY_REFUSED,
        "the key is bound to another entry, which has not run it and now never will; "
        "look up again and send it with a new binding",
        Verdict.NOT_RUN,
        FORBIDDEN_RETRY_AFTER_S,
    )
