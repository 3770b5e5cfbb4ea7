"""The envelope of messages between instances, in MessagePack, and the counts of what passed."""

from collections import Counter
from typing import Any, NamedTuple

import msgspec

from wagtailpoint.observe.hlc import Stamp
from wagtailpoint.ports.peers import (
    ANY_INCARNATION,
    Message,
    PeerAddress,
    PeerCounts,
    Traffic,
    get_message_kind,
    get_message_type,
)


class Envelope(NamedTuple):
    """What goes over a link.

    Attributes:
        kind: The kind of the body.
        address: The sender's address.
        port: The sender's peer port.
        incarnation: The sender's incarnation.
        to_incarnation: The incarnation that the message is meant for.
        stamp: When it was sent.
        number: What a reply has to name; 0 if none is awaited.
        reply_to: The number of the request that this answers; 0 if it answers none.
        body: The message.
    """

    kind: str
    address: str
    port: int
    incarnation: int
    to_incarnation: int
    stamp: Stamp
    number: int
    reply_to: int
    body: msgspec.Raw


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_body_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}


class Delivery(NamedTuple):
    """A message taken out of its envelope."""

    envelope: Envelope
    message: Message


class Meter:
    """Counts messages and bytes by kind, and drops by reason."""

    def __init__(self) -> None:
        self._sent_messages: Counter[str] = Counter()
        self._sent_bytes: Counter[str] = Counter()
        self._received_messages: Counter[str] = Counter()
        self._received_bytes: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()

    @property
    def counts(self) -> PeerCounts:
        """What was counted so far."""
        return PeerCounts(
            sent=_traffic(self._sent_messages, self._sent_bytes),
            received=_traffic(self._received_messages, self._received_bytes),
            dropped=dict(self._dropped),
        )

    def sent(self, kind: str, size: int) -> None:
        """Count a message that was handed to a link."""
        self._sent_messages[kind] += 1
        self._sent_bytes[kind] += size

    def received(self, kind: str, size: int) -> None:
        """Count a message that arrived."""
        self._received_messages[kind] += 1
        self._received_bytes[kind] += size

    def dropped(self, reason: str) -> None:
        """Count a message that goes no further."""
        self._dropped[reason] += 1


def _traffic(messages: Counter[str], sizes: Counter[str]) -> dict[str, Traffic]:
    return {kind: Traffic(count, sizes[kind]) for kind, count in messages.items()}


def encode(
    message: Message,
    *,
    sender: PeerAddress,
    to: PeerAddress,
    stamp: Stamp,
    number: int,
    reply_to: int,
) -> bytes:
    """Put a message into its envelope."""
    envelope = Envelope(
        kind=get_message_kind(type(message)),
        address=sender.address,
        port=sender.port,
        incarnation=sender.incarnation,
        to_incarnation=to.incarnation,
        stamp=stamp,
        number=number,
        reply_to=reply_to,
        body=msgspec.Raw(_encoder.encode(message)),
    )
    return _encoder.encode(envelope)


def decode(data: bytes, *, own_incarnation: int, meter: Meter) -> Delivery | None:
    """Take a message out of its envelope; None, and counted, if it is not for this process.

    Nothing that arrives may crash the receiver: versions differ while instances are replaced, and
    what was buffered through a freeze or a restart was meant for a process that is gone.
    """
    try:
        envelope = _envelope_decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        meter.dropped("undecodable")
        return None
    if envelope.to_incarnation not in (own_incarnation, ANY_INCARNATION):
        meter.dropped("other-incarnation")
        return None
    message_type = get_message_type(envelope.kind)
    if message_type is None:
        meter.dropped("unknown-kind")
        return None
    meter.received(envelope.kind, len(data))
    try:
        return Delivery(envelope, _body_decoder(envelope.kind, message_type).decode(envelope.body))
    except (msgspec.MsgspecError, UnicodeDecodeError):
        meter.dropped("undecodable")
        return None


def _body_decoder(kind: str, message_type: type[Message]) -> msgspec.msgpack.Decoder[Any]:
    decoder = _body_decoders.get(kind)
    if decoder is None:
        decoder = msgspec.msgpack.Decoder(message_type)
        _body_decoders[kind] = decoder
    return decoder
