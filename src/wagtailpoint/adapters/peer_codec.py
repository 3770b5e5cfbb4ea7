"""The MessagePack envelope of messages between instances, and traffic counts."""

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
    """A message with its sender and receiver, as sent over a link.

    Attributes:
        kind: The kind of the body.
        address: The sender's address.
        port: The sender's peer port.
        incarnation: The sender's incarnation.
        to_incarnation: The incarnation that the message is addressed to.
        stamp: The time of sending.
        number: The request's number, which a reply repeats; 0 if no reply is expected.
        reply_to: The number of the answered request; 0 if the message is no reply.
        body: The encoded message.
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
    """A decoded message with its envelope."""

    envelope: Envelope
    message: Message


class Meter:
    """Counts messages and bytes by kind, and dropped messages by reason."""

    def __init__(self) -> None:
        self._sent_messages: Counter[str] = Counter()
        self._sent_bytes: Counter[str] = Counter()
        self._received_messages: Counter[str] = Counter()
        self._received_bytes: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()

    @property
    def counts(self) -> PeerCounts:
        """The counts since the start."""
        return PeerCounts(
            sent=_traffic(self._sent_messages, self._sent_bytes),
            received=_traffic(self._received_messages, self._received_bytes),
            dropped=dict(self._dropped),
        )

    def record_sent(self, kind: str, size: int) -> None:
        """Record a message that was passed to a link."""
        self._sent_messages[kind] += 1
        self._sent_bytes[kind] += size

    def record_received(self, kind: str, size: int) -> None:
        """Record a message that arrived."""
        self._received_messages[kind] += 1
        self._received_bytes[kind] += size

    def record_dropped(self, reason: str) -> None:
        """Record a message that was discarded."""
        self._dropped[reason] += 1


def _traffic(messages: Counter[str], sizes: Counter[str]) -> dict[str, Traffic]:
    return {kind: Traffic(count, sizes[kind]) for kind, count in messages.items()}


def encode_body(message: Message) -> bytes:
    """Encode a message without its envelope.

    Raises:
        OverflowError, RecursionError, TypeError: A value in the message can't be encoded.
    """
    return _encoder.encode(message)


def decode_body(kind: str, body: bytes) -> Message | None:
    """Decode a message without its envelope; return None if it is invalid or of unknown kind."""
    message_type = get_message_type(kind)
    if message_type is None:
        return None
    try:
        return _body_decoder(kind, message_type).decode(body)  # type: ignore[no-any-return]
    except Exception:
        return None


def encode(
    message: Message,
    body: bytes,
    *,
    sender: PeerAddress,
    to: PeerAddress,
    stamp: Stamp,
    number: int,
    reply_to: int,
) -> bytes:
    """Encode the envelope of a message with its encoded body."""
    envelope = Envelope(
        kind=get_message_kind(type(message)),
        address=sender.address,
        port=sender.port,
        incarnation=sender.incarnation,
        to_incarnation=to.incarnation,
        stamp=stamp,
        number=number,
        reply_to=reply_to,
        body=msgspec.Raw(body),
    )
    return _encoder.encode(envelope)


def decode(data: bytes, *, own_incarnation: int, meter: Meter) -> Delivery | None:
    """Decode a message; return None and count a drop if it is invalid or for another process.

    No message may crash the receiver: versions differ while instances are replaced, and a message
    that was buffered during a freeze or a restart is addressed to the previous process.
    """
    try:
        envelope = _envelope_decoder.decode(data)
    except Exception:
        # Not only `MsgspecError`: nesting raises RecursionError.
        meter.record_dropped("undecodable")
        return None
    if envelope.to_incarnation not in (own_incarnation, ANY_INCARNATION):
        meter.record_dropped("other-incarnation")
        return None
    message_type = get_message_type(envelope.kind)
    if message_type is None:
        meter.record_dropped("unknown-kind")
        return None
    meter.record_received(envelope.kind, len(data))
    try:
        return Delivery(envelope, _body_decoder(envelope.kind, message_type).decode(envelope.body))
    except Exception:
        meter.record_dropped("undecodable")
        return None


def _body_decoder(kind: str, message_type: type[Message]) -> msgspec.msgpack.Decoder[Any]:
    decoder = _body_decoders.get(kind)
    if decoder is None:
        decoder = msgspec.msgpack.Decoder(message_type)
        _body_decoders[kind] = decoder
    return decoder
