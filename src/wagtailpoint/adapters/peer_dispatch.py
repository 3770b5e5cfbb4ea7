"""Requests, replies and handlers on top of links that carry one-way messages."""

from itertools import count
from typing import Any

import trio
from result import Err, Ok, Result

from wagtailpoint.adapters.peer_codec import Meter, decode, decode_body, encode, encode_body
from wagtailpoint.adapters.reply_parts import (
    ACCEPTS_PARTS,
    MAX_INLINE_BYTES,
    MAX_REPLY_BYTES,
    PART_TIMEOUT_S,
    FetchedParts,
    KeptReplies,
    LargeReply,
    PartRequest,
    ReplyPart,
    decode_reply,
)
from wagtailpoint.observe.hlc import HybridClock
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.peers import (
    MAX_MESSAGE_BYTES,
    Handler,
    Message,
    PeerAddress,
    PeerCounts,
    PeerFailure,
    Received,
    get_message_kind,
)


class _PendingRequest:
    """A request that waits for its reply."""

    def __init__(self) -> None:
        self.arrived = trio.Event()
        self.reply: Any = None


class DispatchingPeers:
    """Dispatches messages between peers; subclasses implement the transport.

    Args:
        address: The address and incarnation at which this instance receives messages.
        clock: Stamps the sent messages.
    """

    def __init__(self, *, address: PeerAddress, clock: HybridClock) -> None:
        self._address = address
        self._clock = clock
        self._meter = Meter()
        self._handlers: dict[type[Message], Handler] = {}
        self._pending: dict[int, _PendingRequest] = {}
        self._numbers = count(1)
        self._kept_replies = KeptReplies(now=trio.current_time)
        self._fetched_parts = FetchedParts()
        self.handle(PartRequest, lambda received: self._kept_replies.part(received.message))

    @property
    def address(self) -> PeerAddress:
        """The address and incarnation at which this instance receives messages."""
        return self._address

    @property
    def counts(self) -> PeerCounts:
        """The counts of messages since the start."""
        return self._meter.counts

    def handle(self, message_type: type[Message], handler: Handler) -> None:
        """Register the handler of a message type."""
        self._handlers[message_type] = handler

    def send(self, to: PeerAddress, message: Message) -> bool:
        """Send a message without waiting; return False if it was dropped by this instance."""
        return self._send(to, message, number=0, reply_to=0)

    def reply(self, received: Received, message: Message) -> bool:
        """Answer a request after its handler has returned."""
        return self._send(received.sender, message, number=0, reply_to=received.number)

    async def request(
        self, to: PeerAddress, message: Message, *, timeout_s: float
    ) -> Result[Any, PeerFailure]:
        """Send a message and wait for its reply.

        A long reply is fetched in parts, for each of which ``PART_TIMEOUT_S`` applies.
        """
        replied = await self._exchange(to, message, timeout_s=timeout_s)
        if isinstance(replied, Ok) and isinstance(replied.ok_value, LargeReply):
            return await self._fetch(to, replied.ok_value)
        return replied

    async def _fetch(self, to: PeerAddress, reply: LargeReply) -> Result[Any, PeerFailure]:
        if reply.size > MAX_REPLY_BYTES:
            self._meter.record_dropped("too-large")
            return Err(PeerFailure.TIMEOUT)
        received = self._fetched_parts.received(reply)
        while (offset := len(received)) < reply.size:
            request = PartRequest(reply.digest, offset)
            replied = await self._exchange(to, request, timeout_s=PART_TIMEOUT_S)
            if isinstance(replied, Err):
                return replied
            part = replied.ok_value
            if not isinstance(part, ReplyPart) or not part.data:
                self._meter.record_dropped("part-gone")
                return Err(PeerFailure.TIMEOUT)
            # Another request for the same reply may have added it meanwhile.
            if offset == len(received):
                received += part.data
        self._fetched_parts.discard(reply)
        body = decode_reply(reply, received)
        message = None if body is None else decode_body(reply.kind, body)
        if message is None:
            self._meter.record_dropped("undecodable")
            return Err(PeerFailure.TIMEOUT)
        return Ok(message)

    async def _exchange(
        self, to: PeerAddress, message: Message, *, timeout_s: float
    ) -> Result[Any, PeerFailure]:
        number = next(self._numbers) | ACCEPTS_PARTS
        pending = _PendingRequest()
        self._pending[number] = pending
        try:
            if not self._send(to, message, number=number, reply_to=0):
                return Err(PeerFailure.NOT_SENT)
            with trio.move_on_after(timeout_s):
                await pending.arrived.wait()
                self._record_answer(to)
                return Ok(pending.reply)
            self._record_timeout(to)
            return Err(PeerFailure.TIMEOUT)
        finally:
            del self._pending[number]

    async def run(self) -> None:
        """Receive until cancelled."""
        raise NotImplementedError

    def _transmit(self, to: PeerAddress, data: bytes) -> bool:
        raise NotImplementedError

    def _record_answer(self, to: PeerAddress) -> None:
        """Record that a peer answered a request."""

    def _record_timeout(self, to: PeerAddress) -> None:
        """Record that a peer did not answer a request within its timeout."""

    def _send(self, to: PeerAddress, message: Message, *, number: int, reply_to: int) -> bool:
        # The sending task follows the store or answers peers, and has to survive one message.
        try:
            body = encode_body(message)
            if (
                reply_to & ACCEPTS_PARTS
                and len(body) > MAX_INLINE_BYTES
                and not isinstance(message, ReplyPart)
            ):
                message = self._kept_replies.keep(get_message_kind(type(message)), body)
                body = encode_body(message)
            data = encode(
                message,
                body,
                sender=self._address,
                to=to,
                stamp=self._clock.now(),
                number=number,
                reply_to=reply_to,
            )
        except Exception as error:
            self._meter.record_dropped("unencodable")
            log_event(
                "peer-message-unencodable",
                level="ERROR",
                kind=get_message_kind(type(message)),
                to=to,
                error=repr(error),
            )
            return False
        if len(data) > MAX_MESSAGE_BYTES:
            self._meter.record_dropped("too-large")
            return False
        if not self._transmit(to, data):
            self._meter.record_dropped("link-full")
            return False
        self._meter.record_sent(get_message_kind(type(message)), len(data))
        return True

    def _receive(self, data: bytes) -> None:
        delivery = decode(data, own_incarnation=self._address.incarnation, meter=self._meter)
        if delivery is None:
            return
        envelope, message = delivery
        self._clock.merge(envelope.stamp)
        if envelope.reply_to:
            self._deliver_reply(envelope.reply_to, message)
            return
        sender = PeerAddress(envelope.address, envelope.port, envelope.incarnation)
        self._call_handler(Received(sender, envelope.stamp, envelope.number, message))

    def _deliver_reply(self, number: int, message: Message) -> None:
        pending = self._pending.get(number)
        if pending is None:
            self._meter.record_dropped("late-reply")
            return
        pending.reply = message
        pending.arrived.set()

    def _call_handler(self, received: Received) -> None:
        handler = self._handlers.get(type(received.message))
        if handler is None:
            self._meter.record_dropped("no-handler")
            return
        # An error in a handler must not end the receiving task: the instance would look dead to
        # its peers while it serves callers.
        try:
            answer = handler(received)
        except Exception as error:
            self._meter.record_dropped("handler-failed")
            log_event(
                "peer-handler-failed",
                level="ERROR",
                kind=get_message_kind(type(received.message)),
                sender=received.sender,
                error=repr(error),
            )
            return
        if answer is not None:
            self.reply(received, answer)
