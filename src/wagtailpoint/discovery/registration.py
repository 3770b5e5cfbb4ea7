"""This instance's registration in the store, by which new instances find the others."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import msgspec
import trio
from result import Err, Ok

from wagtailpoint.discovery.store_era import StoreEra
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import ABSENT, Conflict, Platform, StoredObject
from wagtailpoint.untrusted_input import read_value

INSTANCES_KIND = "wagtailpoint-instances"
RETRY_DELAY_S = 0.5
WITHDRAWAL_RETRY_DELAY_S = 0.1
LIST_INTERVAL_S = 10.0
"""Interval of reading the registrations while no other instance is known to be live."""

MAX_REWRITE_DELAY_S = 5.0
"""Maximum delay after a return of the store before the registration is written again. All instances
do that, and only those that start need it."""

INITIAL_COUNT = 32
"""Number of instances assumed until the registrations were read. Shared budgets are divided by it:
a number that is too small would spend the shares of the other instances."""


class Registered(msgspec.Struct):
    """The registration of an instance."""

    address: str
    peer_port: int


def read_registered(stored: StoredObject) -> Registered | None:
    """Decode an instance's registration; return None and log the error if it is invalid."""
    read = read_value(stored.value, Registered)
    if isinstance(read, Err):
        log_event("instance-unreadable", level="WARNING", name=stored.name, error=read.err_value)
        return None
    return read.ok_value


class Registration:
    """Registers this instance and reads the registrations of the others."""

    def __init__(
        self,
        *,
        platform: Platform,
        era: StoreEra,
        name: str,
        peers: Endpoint,
        random: Random,
    ) -> None:
        """Initialise the registration without writing it.

        Args:
            platform: The store.
            era: The newest era of the store, which may lose the registration when it returns.
            name: This instance's name; a process that replaces it overwrites its registration.
            peers: The endpoint at which other instances reach this one.
            random: Source of the jitter.
        """
        self._platform = platform
        self._name = name
        self._own_endpoint = peers
        self._random = random
        self._others: Sequence[PeerAddress] = ()
        self._count = INITIAL_COUNT
        self._version = ABSENT
        self._may_be_written = False
        self._is_withdrawn = False
        self._writing = trio.Lock()
        self._era = era
        self._returned = trio.Event()
        era.on_return(self._record_return)

    @property
    def count(self) -> int:
        """The number of registered instances, including this one."""
        return self._count

    def addresses(self) -> Sequence[PeerAddress]:
        """Return the addresses of the other registered instances."""
        return self._others

    async def run(self, is_alone: Callable[[], bool]) -> None:
        """Register and read the registrations, again while no other instance is known to be live.

        Args:
            is_alone: Returns whether no other instance is known to be live.
        """
        await self._register_until_done()
        await self._read()
        while True:
            has_returned = False
            with trio.move_on_after(LIST_INTERVAL_S * self._random.uniform(0.8, 1.2)):
                await self._returned.wait()
                has_returned = True
            if has_returned:
                self._returned = trio.Event()
                await trio.sleep(self._random.uniform(0.0, MAX_REWRITE_DELAY_S))
                self._version = ABSENT
                await self._register_until_done()
            if is_alone():
                await self._read()

    async def withdraw(self) -> None:
        """Remove this instance's registration before the process ends, and never write it again.

        Goes on until the store confirms it.
        """
        self._is_withdrawn = True
        async with self._writing:
            while not await self._remove():  # noqa: ASYNC110 - the store has no event
                await trio.sleep(WITHDRAWAL_RETRY_DELAY_S)

    async def _remove(self) -> bool:
        """Remove the registration; return whether the store confirms that it is gone."""
        if not self._may_be_written:
            return True
        if self._version == ABSENT:
            # The answer to an own write was lost.
            found = await self._platform.get(kind=INSTANCES_KIND, name=self._name)
            if isinstance(found, Err):
                return False
            if found.ok_value is None or found.ok_value.value != self._value:
                return True
            self._version = found.ok_value.version
        removed = await self._platform.delete(
            kind=INSTANCES_KIND, name=self._name, if_version=self._version
        )
        # A conflict: it is gone, or that of a process which replaces this one.
        return isinstance(removed, Ok) or isinstance(removed.err_value, Conflict)

    @property
    def _value(self) -> dict[str, Any]:
        own = Registered(self._own_endpoint.address, self._own_endpoint.port)
        value: dict[str, Any] = msgspec.to_builtins(own)
        return value

    def _record_return(self) -> None:
        self._returned.set()

    async def _register_until_done(self) -> None:
        while True:
            async with self._writing:
                if self._is_withdrawn or await self._register():
                    return
            await trio.sleep(RETRY_DELAY_S * self._random.uniform(0.5, 1.5))

    async def _register(self) -> bool:
        value = self._value
        self._may_be_written = True
        written = await self._platform.put(
            kind=INSTANCES_KIND, name=self._name, value=value, if_version=self._version
        )
        if isinstance(written, Ok):
            self._version = written.ok_value.version
            log_event("registered", name=self._name, version=self._version)
            return True
        error = written.err_value
        if isinstance(error, Conflict):
            # From a previous process of this name, or from an own write whose answer was lost.
            self._version = error.current.version if error.current is not None else ABSENT
            if error.current is not None and error.current.value == value:
                return True
        else:
            log_event("register-failed", level="WARNING", error=error)
        return False

    async def _read(self) -> None:
        # Instances that registered in the last seconds find this one anyway.
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
