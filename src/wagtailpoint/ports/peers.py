"""Messages between instances, which are small, one-way and never block the sender."""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, NamedTuple, Protocol, TypeVar

from result import Result

from wagtailpoint.observe.hlc import Stamp

Message = tuple[Any, ...]
"""An instance of a ``NamedTuple`` that was registered with ``register_message``."""

MessageType = TypeVar("MessageType", bound=Message)

ANY_INCARNATION = 0
"""Addresses any process that listens at an address; used while its incarnation is unknown."""

MAX_MESSAGE_BYTES = 1 << 20

_type_by_kind: dict[str, type[Message]] = {}
_kind_by_type: dict[type[Message], str] = {}


def register_message(kind: str, message_type: type[MessageType]) -> type[MessageType]:
    """Register a message type under its name on the wire.

    A message whose fields change needs a new kind. During a rolling update both versions run, and
    an unknown kind is ignored, whereas misread fields would be acted upon.

    Raises:
        ValueError: The kind or the type is already registered with another counterpart.
    """
    if _type_by_kind.get(kind, message_type) is not message_type:
        raise ValueError(f"kind {kind!r}: given a second type, expected one message type")
    if _kind_by_type.get(message_type, kind) != kind:
        raise ValueError(
            f"message type {message_type.__name__}: given a second kind, expected one kind"
        )
    _type_by_kind[kind] = message_type
    _kind_by_type[message_type] = kind
    return message_type


def get_message_kind(message_type: type[Message]) -> str:
    """Return the kind of a message type; raises KeyError if it isn't registered."""
    return _kind_by_type[message_type]


def get_message_type(kind: str) -> type[Message] | None:
    """Return the message type of a kind; None if this version doesn't know the kind."""
    return _type_by_kind.get(kind)


class PeerAddress(NamedTuple):
    """The address at which an instance receives messages from peers.

    Attributes:
        address: The IP number.
        port: The peer port.
        incarnation: The incarnation of the process addressed. A message that was buffered during a
            freeze or a restart may reach another process at the same address, which drops it.
    """

    address: str
    port: int
    incarnation: int = ANY_INCARNATION

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class Received(NamedTuple):
    """A received message.

    Attributes:
        sender: The address and incarnation of the sender.
        stamp: The time of sending by the sender's hybrid logical clock.
        number: The request number that a reply must carry; 0 if no reply is expected.
        message: The message.
    """

    sender: PeerAddress
    stamp: Stamp
    number: int
    message: Any


class PeerFailure(Enum):
    """The reason why a request to a peer has no reply."""

    TIMEOUT = "timeout"
    NOT_SENT = "not-sent"


class Traffic(NamedTuple):
    """Messages and bytes of one kind that went over the links in one direction."""

    messages: int
    bytes: int


class PeerCounts(NamedTuple):
    """The traffic over the links since the process started.

    Attributes:
        sent: The traffic sent, by kind.
        received: The traffic received, by kind.
        dropped: Messages that never reached a handler, by reason: ``link-full``, ``too-large``,
            ``undecodable``, ``unknown-kind``, ``other-incarnation``, ``no-handler``,
            ``late-reply``, ``handler-failed``, ``part-gone``.
    """

    sent: Mapping[str, Traffic]
    received: Mapping[str, Traffic]
    dropped: Mapping[str, int]


Handler = Callable[[Received], Message | None]
"""Handles a message and returns the reply, if any. It must not block: longer work is started as a
task, which calls ``Peers.reply`` at its end."""


class Peers(Protocol):
    """Sends messages to the other instances and receives theirs."""

    @property
    def address(self) -> PeerAddress:
        """The peer address of this instance, with its incarnation."""
        ...

    @property
    def counts(self) -> PeerCounts:
        """The traffic over the links since the process started."""
        ...

    def handle(self, message_type: type[Message], handler: Handler) -> None:
        """Register the handler of all messages of a type."""
        ...

    def send(self, to: PeerAddress, message: Message) -> bool:
        """Send a message without waiting; return False if it was dropped by the sender.

        True only means that the message was handed to the link.
        """
        ...

    def reply(self, received: Received, message: Message) -> bool:
        """Reply to a request after its handler has returned."""
        ...

    async def request(
        self, to: PeerAddress, message: Message, *, timeout_s: float
    ) -> Result[Any, PeerFailure]:
        """Send a message and wait for its reply."""
        ...

    async def run(self) -> None:
        """Receive messages until cancelled."""
        ...
