"""This instance's own object in the store, by which new instances find the others."""

from collections.abc import Callable, Sequence
from random import Random

import msgspec
import trio
from result import Err, Ok

from wagtailpoint.node_settings import Endpoint
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import ABSENT, Conflict, Platform, StoredObject

INSTANCES_KIND = "wagtailpoint-instances"
RETRY_DELAY_S = 0.5
LIST_INTERVAL_S = 10.0
"""How often the list is read while no other instance is known to live."""

INITIAL_COUNT = 32
"""Instances that are assumed until the list was read: shared budgets are divided by the number, and
a smaller one would spend the others' parts."""


class Registered(msgspec.Struct):
    """An instance, as it registered itself."""

    address: str
    peer_port: int


def read_registered(stored: StoredObject) -> Registered | None:
    """Read an instance's object; None, with a log line, if it can't be read."""
    try:
        return msgspec.convert(stored.value, Registered)
    except msgspec.ValidationError as error:
        log_event("instance-unreadable", level="WARNING", name=stored.name, error=error)
        return None


class Registration:
    """Registers this instance, and reads who else did."""

    def __init__(self, *, platform: Platform, name: str, peers: Endpoint, random: Random) -> None:
        """Make it.

        Args:
            platform: The store.
            name: This instance's name; a process that takes its place overwrites its object.
            peers: Where the other instances reach it.
            random: For the jitter.
        """
        self._platform = platform
        self._name = name
        self._own_endpoint = peers
        self._random = random
        self._others: Sequence[PeerAddress] = ()
        self._count = INITIAL_COUNT
        self._version = ABSENT

    @property
    def count(self) -> int:
        """How many instances are registered, this one included."""
        return self._count

    def addresses(self) -> Sequence[PeerAddress]:
        """Where to look for the others."""
        return self._others

    async def run(self, is_alone: Callable[[], bool]) -> None:
        """Register, then read the list until others are found.

        Args:
            is_alone: Returns whether no other instance is known to live.
        """
        registered = False
        while not registered:
            registered = await self._register()
            if not registered:
                await trio.sleep(RETRY_DELAY_S * self._random.uniform(0.5, 1.5))
        await self._read()
        while True:
            await trio.sleep(LIST_INTERVAL_S * self._random.uniform(0.8, 1.2))
            if is_alone():
                await self._read()

    async def withdraw(self) -> None:
        """Remove this instance's object; it ends."""
        if self._version != ABSENT:
            await self._platform.delete(
                kind=INSTANCES_KIND, name=self._name, if_version=self._version
            )

    async def _register(self) -> bool:
        value = msgspec.to_builtins(Registered(self._own_endpoint.address, self._own_endpoint.port))
        written = await self._platform.put(
            kind=INSTANCES_KIND, name=self._name, value=value, if_version=self._version
        )
        if isinstance(written, Ok):
            self._version = written.ok_value.version
            log_event("registered", name=self._name, version=self._version)
            return True
        error = written.err_value
        if isinstance(error, Conflict):
            # Of the process before at this place, or of a write of ours whose answer was lost.
            self._version = error.current.version if error.current is not None else ABSENT
            if error.current is not None and error.current.value == value:
                return True
        else:
            log_event("register-failed", level="WARNING", error=error)
        return False

    async def _read(self) -> None:
        # Who registered in the last seconds is found by the others anyway.
        listing = await self._platform.list(kind=INSTANCES_KIND, may_be_stale=True)
        if isinstance(listing, Err):
            log_event("instances-unread", level="WARNING", error=listing.err_value)
            return
        others = []
        for stored in listing.ok_value.objects:
            registered = read_registered(stored)
            if registered is not None and registered.address != self._own_endpoint.address:
                others.append(PeerAddress(registered.address, registered.peer_port))
        self._others = others
        self._count = len(others) + 1
        log_event("instances-read", count=self._count, version=listing.ok_value.version)
