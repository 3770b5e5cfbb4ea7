"""Messages between instances: small, one-way, never blocking the sender."""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, NamedTuple, Protocol, TypeVar

from result import Result

from wagtailpoint.observe.hlc import Stamp

Message = tuple[Any, ...]
"""A message: an instance of a ``NamedTuple`` that was given to ``register_message``."""

MessageType = TypeVar("MessageType", bound=Message)

ANY_INCARNATION = 0
"""Addresses whichever process listens there, when its incarnation is not known yet."""

MOST_MESSAGE_BYTES = 1 << 20

_type_by_kind: dict[str, type[Message]] = {}
_kind_by_type: dict[type[Message], str] = {}


def register_message(kind: str, message_type: type[MessageType]) -> type[MessageType]:
    """Give a type of message its name on the wire.

    A message whose fields change gets a new kind: while instances are replaced, both versions run,
    and a kind that is not known is ignored, but a field misread would be acted upon.

    Raises:
        ValueError: The kind or the type was registered before, as something else.
    """
    if _type_by_kind.get(kind, message_type) is not message_type:
        raise ValueError(f"given kind {kind!r} twice, expected one message type for each kind")
    if _kind_by_type.get(message_type, kind) != kind:
        raise ValueError(f"given {message_type.__name__} twice, expected one kind for each type")
    _type_by_kind[kind] = message_type
    _kind_by_type[message_type] = kind
    return message_type


def kind_of(message_type: type[Message]) -> str:
    """Return the kind of a type of message; KeyError if it was never registered."""
    return _kind_by_type[message_type]


def type_of(kind: str) -> type[Message] | None:
    """Return the type for a kind; None if this version does not know it."""
    return _type_by_kind.get(kind)


class PeerAddress(NamedTuple):
    """Where an instance hears its peers.

    Attributes:
        address: IP number.
        port: Its peer port.
        incarnation: The process meant; a message buffered through a freeze or a restart reaches
            another process at the same address and is then dropped there.
    """

    address: str
    port: int
    incarnation: int = ANY_INCARNATION

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class Received(NamedTuple):
    """A message that arrived.

    Attributes:
        sender: Who sent it, with the sender's incarnation.
        stamp: When it was sent, by the sender's hybrid logical clock.
        number: What a reply has to name; 0 if none is awaited.
        message: The message.
    """

    sender: PeerAddress
    stamp: Stamp
    number: int
    message: Any


class PeerFailure(Enum):
    """Why a request to a peer has no reply."""

    TIMEOUT = "timeout"
    NOT_SENT = "not-sent"


class Traffic(NamedTuple):
    """What went over the links in one direction, of one kind."""

    messages: int
    bytes: int


class PeerCounts(NamedTuple):
    """What went over the links since the start.

    Attributes:
        sent: By kind.
        received: By kind.
        dropped: Messages that never reached a handler, by reason: ``link-full``, ``too-large``,
            ``undecodable``, ``unknown-kind``, ``other-incarnation``, ``no-handler``,
            ``late-reply``, ``handler-failed``.
    """

    sent: Mapping[str, Traffic]
    received: Mapping[str, Traffic]
    dropped: Mapping[str, int]


Handler = Callable[[Received], Message | None]
"""Takes a message and returns the reply, if any. It must not block; what takes longer is given to
a task, which calls ``Peers.reply`` when it is done."""


class Peers(Protocol):
    """The links to the other instances."""

    @property
    def address(self) -> PeerAddress:
        """Where this instance hears its peers, with its own incarnation."""
        ...

    @property
    def counts(self) -> PeerCounts:
        """What went over the links since the start."""
        ...

    def handle(self, message_type: type[Message], handler: Handler) -> None:
        """Call ``handler`` for every message of a type."""
        ...

    def send(self, to: PeerAddress, message: Message) -> bool:
        """Send a message and return at once; False if it was dropped here.

        True says only that it was handed to the link.
        """
        ...

    def reply(self, received: Received, message: Message) -> bool:
        """Answer a request, later than its handler's return."""
        ...

    async def request(
        self, to: PeerAddress, message: Message, *, timeout_s: float
    ) -> Result[Any, PeerFailure]:
        """Send a message and wait for its reply."""
        ...

    async def run(self) -> None:
        """Receive until cancelled."""
        ...
