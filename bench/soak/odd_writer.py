"""Another writer in the store of a soak, whose objects can't be used."""

from random import Random
from typing import Final

import msgspec
import trio
from tests.common.odd_values import LARGE_INTEGER, NESTED, SURROGATE, UNREADABLE
from tests.common.users_store import UsersStore

from wagtailpoint.discovery.registration import INSTANCES_KIND
from wagtailpoint.limits.lease import LEASE_KIND
from wagtailpoint.platform.documents import CONFIG_KIND, EVACUATIONS_KIND, SERVERS_KIND
from wagtailpoint.quarantine.stored import KIND as QUARANTINE_KIND

KINDS: Final = (
    SERVERS_KIND,
    SERVERS_KIND,
    CONFIG_KIND,
    EVACUATIONS_KIND,
    QUARANTINE_KIND,
    LEASE_KIND,
    INSTANCES_KIND,
)
"""The kinds that instances read; most objects are beside the entries of backend servers."""

TEXTS: Final = (
    *UNREADABLE,
    *(f'{{"Service":{text},"holder":null}}' for text in (NESTED, SURROGATE, LARGE_INTEGER)),
    f'{{"Service":"{"x" * 100_000}"}}',
    '{"Service":"desk","Address":"10.1.2.3:99999","Zone":"a-1"}',
    "[]",
    "7",
)
"""The contents, as JSON texts: unreadable ones, and others that are of no use."""

MAX_WRITES: Final = 4
WRITE_INTERVAL_S: Final = 0.5


class OddWriter:
    """Writes objects that can't be used, and removes them."""

    def __init__(self, *, store: UsersStore, random: Random) -> None:
        """Initialise the writer.

        Args:
            store: The store of the deployment.
            random: Chooses kinds and contents.
        """
        self._store = store
        self._random = random
        self._written = 0

    async def write(self, duration_s: float) -> None:
        """Write an object several times, and remove it after ``duration_s`` seconds."""
        self._written += 1
        # Before the names of backend servers or behind them.
        name = f"{self._random.choice('az')}-odd-{self._written}"
        kind, text = self._random.choice(KINDS), self._random.choice(TEXTS)
        with trio.move_on_after(duration_s):
            for _ in range(self._random.randint(1, MAX_WRITES)):
                self._store.put(kind, name, msgspec.Raw(text.encode()))
                await trio.sleep(WRITE_INTERVAL_S)
            await trio.sleep_forever()
        # A store that has returned to a copy may have lost it.
        if name in self._store.names(kind):
            self._store.delete(kind, name)
