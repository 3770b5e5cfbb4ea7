"""Looks for evidence that a holder is gone: at its address, and in the platform's list."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from result import Err, Ok

from wagtailpoint.limits.evidence import Evidence, HolderCheck
from wagtailpoint.limits.lease import Holder
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.peers import PeerAddress, Peers, Received, register_message
from wagtailpoint.ports.platform import Platform

LOOKS_PER_MARGIN: Final = 3


class WhoAreYou(NamedTuple):
    """Asks whichever process listens at an address for its incarnation."""


class IAm(NamedTuple):
    """Answers ``WhoAreYou``."""

    incarnation: int


register_message("who-are-you", WhoAreYou)
register_message("i-am", IAm)


class AddressCheck:
    """Asks at the holder's address.

    Sound because the question is sent after the seat was seen held: who answers listens there
    after the holder did, and only one process at a time can listen on an address and port.
    """

    def __init__(self, *, peers: Peers, timeout_s: float) -> None:
        """Answer such questions from now on, and ask them.

        Args:
            peers: The links.
            timeout_s: For one answer, in seconds.
        """
        self._peers = peers
        self._timeout_s = timeout_s
        peers.handle(WhoAreYou, self._answer)

    async def evidence(self, holder: Holder) -> Evidence | None:
        """Return whether another process answers there."""
        address = PeerAddress(holder.address, holder.port)
        reply = await self._peers.request(address, WhoAreYou(), timeout_s=self._timeout_s)
        match reply:
            case Ok(IAm(incarnation)) if incarnation != holder.incarnation:
                return Evidence.OTHER_INCARNATION
        return None

    def _answer(self, received: Received) -> IAm:
        return IAm(self._peers.address.incarnation)


class ListCheck:
    """Reads the platform's list, which lags and may miss an instance for a moment.

    An instance counts as dropped when it was missing from every reading for a whole margin.
    """

    def __init__(self, *, platform: Platform, clock: Clock, margin_s: float) -> None:
        """Make it without any reading.

        Args:
            platform: Where the list is.
            clock: Must count suspension.
            margin_s: Seconds; more than the pause after which a process counts as frozen, and
                more than the list's lag.
        """
        self._platform = platform
        self._clock = clock
        self._margin_s = margin_s
        self._missing: dict[Holder, tuple[float, float]] = {}

    async def evidence(self, holder: Holder) -> Evidence | None:
        """Return whether the list has been without the holder for the margin."""
        listing = await self._platform.instances()
        if isinstance(listing, Err):
            return None
        now = self._clock.monotonic()
        if any(listed.address == holder.address for listed in listing.ok_value):
            self._missing.pop(holder, None)
            return None
        since, last = self._missing.get(holder, (now, now))
        if now - last > self._margin_s / LOOKS_PER_MARGIN:
            # Nobody looked in between, so it may have been listed.
            since = now
        self._missing[holder] = (since, now)
        return Evidence.DROPPED if now - since >= self._margin_s else None


class AnyCheck:
    """Takes the first evidence that one of several checks finds."""

    def __init__(self, *, checks: Sequence[HolderCheck]) -> None:
        self._checks = checks

    async def evidence(self, holder: Holder) -> Evidence | None:
        """Return the first evidence found."""
        for check in self._checks:
            found = await check.evidence(holder)
            if found is not None:
                return found
        return None
