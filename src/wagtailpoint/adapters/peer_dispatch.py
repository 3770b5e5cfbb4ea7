"""Requests, replies and handlers over links that only carry one-way messages."""

from itertools import count
from typing import Any

import trio
from result import Err, Ok, Result

from wagtailpoint.adapters.peer_codec import Meter, decode, encode
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


class _Waiting:
    """A request whose reply is awaited."""

    def __init__(self) -> None:
        self.arrived = trio.Event()
        self.reply: Any = None


class DispatchingPeers:
    """What all links have in common; a subclass moves the bytes.

    Args:
        address: Where this instance hears its peers, with its incarnation.
        clock: Stamps what is sent.
    """

    def __init__(self, *, address: PeerAddress, clock: HybridClock) -> None:
        self._address = address
        self._clock = clock
        self._meter = Meter()
        self._handlers: dict[type[Message], Handler] = {}
        self._waiting: dict[int, _Waiting] = {}
        self._numbers = count(1)

    @property
    def address(self) -> PeerAddress:
        """Where this instance hears its peers, with its incarnation."""
        return self._address

    @property
    def counts(self) -> PeerCounts:
        """What went over the links since the start."""
        return self._meter.counts

    def handle(self, message_type: type[Message], handler: Handler) -> None:
        """Call ``handler`` for every message of a type."""
        self._handlers[message_type] = handler

    def send(self, to: PeerAddress, message: Message) -> bool:
        """Send a message and return at once; False if it was dropped here."""
        return self._send(to, message, number=0, reply_to=0)

    def reply(self, received: Received, message: Message) -> bool:
        """Answer a request, later than its handler's return."""
        return self._send(received.sender, message, number=0, reply_to=received.number)

    async def request(
        self, to: PeerAddress, message: Message, *, timeout_s: float
    ) -> Result[Any, PeerFailure]:
        """Send a message and wait for its reply."""
        number = next(self._numbers)
        waiting = _Waiting()
        self._waiting[number] = waiting
        try:
            if not self._send(to, message, number=number, reply_to=0):
                return Err(PeerFailure.NOT_SENT)
            with trio.move_on_after(timeout_s):
                await waiting.arrived.wait()
                self._answered(to)
                return Ok(waiting.reply)
            self._unanswered(to)
            return Err(PeerFailure.TIMEOUT)
        finally:
            del self._waiting[number]

    async def run(self) -> None:
        """Receive until cancelled."""
        raise NotImplementedError

    def _transmit(self, to: PeerAddress, data: bytes) -> bool:
        raise NotImplementedError

    def _answered(self, to: PeerAddress) -> None:
        """Take note that a request was answered."""

    def _unanswered(self, to: PeerAddress) -> None:
        """Take note that a request was not answered in time."""

    def _send(self, to: PeerAddress, message: Message, *, number: int, reply_to: int) -> bool:
        data = encode(
            message,
            sender=self._address,
            to=to,
            stamp=self._clock.now(),
            number=number,
            reply_to=reply_to,
        )
        if len(data) > MAX_MESSAGE_BYTES:
            self._meter.dropped("too-large")
            return False
        if not self._transmit(to, data):
            self._meter.dropped("link-full")
            return False
        self._meter.sent(get_message_kind(type(message)), len(data))
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
        waiting = self._waiting.get(number)
        if waiting is None:
            self._meter.dropped("late-reply")
            return
        waiting.reply = message
        waiting.arrived.set()

    def _call_handler(self, received: Received) -> None:
        handler = self._handlers.get(type(received.message))
        if handler is None:
            self._meter.dropped("no-handler")
            return
        # One message that a handler cannot digest must not end the task that receives all others:
        # the instance would look dead to its peers while it serves callers.
        try:
            answer = handler(received)
        except Exception as error:
            self._meter.dropped("handler-failed")
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
