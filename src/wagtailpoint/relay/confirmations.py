"""Which relays have lately said that they go on.

The members' states tell of a planned stop, too, but they may arrive late: the instance that stops
was frozen, or its users were, or messages are lost.
"""

from collections.abc import Callable, Collection
from typing import Final, NamedTuple

import trio

from wagtailpoint.membership import Membership
from wagtailpoint.ports.peers import Peers, Received, register_message

CONFIRMED_FOR_S: Final = 1.0
"""Time after a question that was answered in which any request may be sent, however long its
timeout."""

KEPT_FOR_S: Final = 3.0
"""Time after the last answer in which idle connections are kept, so that they are closed before the
relay has to wait for them to its end."""

ASK_INTERVAL_S: Final = 0.3
"""One answer may be lost, or take as long as the longest round trip between regions, before a
confirmation ends."""


class RelayQuestion(NamedTuple):
    """Asks an instance whether it goes on.

    Attributes:
        asked_at: When it was sent, in seconds by the sender's own clock.
    """

    asked_at: float


class RelayState(NamedTuple):
    """The answer to a ``RelayQuestion``.

    Attributes:
        asked_at: The value in the question.
        goes_on: Whether the instance is not stopping.
    """

    asked_at: float
    goes_on: bool


register_message("relay-question", RelayQuestion)
register_message("relay-state", RelayState)


class RelayConfirmations:
    """Asks the relays in use whether they go on, and answers others that ask."""

    def __init__(
        self,
        *,
        peers: Peers,
        membership: Membership,
        is_leaving: Callable[[], bool],
        in_use: Callable[[], Collection[str]],
        goes_on_s: Callable[[], float],
    ) -> None:
        """Initialise without any confirmation.

        Args:
            peers: Links to the other instances.
            membership: The known instances.
            is_leaving: Whether this instance is stopping.
            in_use: Returns the relays of the open connections, as in ``OpenedStream.relay``.
            goes_on_s: Returns for how many seconds an instance goes on to pass answers back after
                it was asked; it may be told to stop right then.
        """
        self._peers = peers
        self._membership = membership
        self._is_leaving = is_leaving
        self._in_use = in_use
        self._goes_on_s = goes_on_s
        self._asked_at: dict[str, float] = {}
        peers.handle(RelayQuestion, self._answer)
        peers.handle(RelayState, self._record_state)

    def record(self, address: str, asked_at: float) -> None:
        """Record that a relay has said that it goes on.

        Args:
            address: Its address.
            asked_at: When it was asked, by trio's clock. Its answer may have waited, so that the
                time of arrival says nothing.
        """
        self._asked_at[address] = max(asked_at, self._asked_at.get(address, asked_at))

    def is_confirmed(self, address: str, *, ends_by: float | None = None) -> bool:
        """Return whether a connection through a relay may be used without asking the relay first.

        Args:
            address: The address of the relay.
            ends_by: The deadline of a request, by trio's clock; None to keep an idle connection.
        """
        asked_at = self._asked_at.get(address)
        if asked_at is None or trio.current_time() - asked_at >= KEPT_FOR_S:
            return False
        return (
            ends_by is None
            or ends_by <= asked_at + self._goes_on_s()
            or trio.current_time() - asked_at < CONFIRMED_FOR_S
        )

    async def run(self) -> None:
        """Ask the relays in use until cancelled."""
        while True:
            for address in {relay.partition("#")[0] for relay in self._in_use()}:
                self._ask(address)
            for address in [known for known in self._asked_at if not self.is_confirmed(known)]:
                del self._asked_at[address]
            await trio.sleep(ASK_INTERVAL_S)

    def _ask(self, address: str) -> None:
        member = self._membership.member(address)
        if member is not None:
            self._peers.send(member.peer_address, RelayQuestion(trio.current_time()))

    def _answer(self, received: Received) -> None:
        question: RelayQuestion = received.message
        state = RelayState(question.asked_at, goes_on=not self._is_leaving())
        self._peers.send(received.sender, state)

    def _record_state(self, received: Received) -> None:
        state: RelayState = received.message
        if state.goes_on:
            self.record(received.sender.address, state.asked_at)
        else:
            self._asked_at.pop(received.sender.address, None)
