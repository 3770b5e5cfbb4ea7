"""The entry instances known to the caller, from cached lookups."""

import random
from collections.abc import Sequence
from typing import NamedTuple
from urllib.parse import urlencode

import trio
from result import Err

from wagtailpoint.caller.exchange import EntryAddress, Exchanges, Outgoing, Reply
from wagtailpoint.errors import NoEntryAvailable
from wagtailpoint.lookup.answer import LookupAnswer, LookupEntry
from wagtailpoint.retries.policy import order_for_retry
from wagtailpoint.untrusted_input import decode_json

LOOKUP_PATH = "/v1/lookup"
_LOOKUP_TIMEOUT_S = 1.0
_FAILED_LOOKUP_DELAY_S = 0.5
_SUSPECT_RETENTION_S = 2.0
_OK = 200


class KnownEntry(NamedTuple):
    """An entry from the answer to a lookup."""

    address: EntryAddress
    failure_domain: str
    binding: str


class Entries:
    """Selects the entries to use, best first, and repeats the lookup when its answer is stale."""

    def __init__(
        self,
        *,
        exchanges: Exchanges,
        seeds: Sequence[EntryAddress],
        workspace: str,
        address: str,
        rng: random.Random,
    ) -> None:
        self._exchanges = exchanges
        self._seeds = tuple(seeds)
        self._target = f"{LOOKUP_PATH}?{urlencode({'workspace': workspace, 'address': address})}"
        self._rng = rng
        self._known: tuple[KnownEntry, ...] = ()
        self._fresh_until = float("-inf")
        self._suspects: dict[EntryAddress, float] = {}
        self._lookup_lock = trio.Lock()

    def mark_stale(self) -> None:
        """Repeat the lookup before the next use: an entry's answer showed that it is stale."""
        self._fresh_until = float("-inf")

    def mark_suspect(self, address: EntryAddress) -> None:
        """Prefer the other entries for a while, for lookups too: this one did not answer."""
        self._suspects[address] = trio.current_time() + _SUSPECT_RETENTION_S

    async def choose(self, tried: Sequence[KnownEntry], *, until: float) -> KnownEntry:
        """Return the entry to use next; if all were tried, the best one again.

        Raises:
            NoEntryAvailable: No entry answers lookups, and no earlier answer is known.
        """
        current = await self._current_entries(until)
        known = sorted(current, key=lambda entry: self._is_suspect(entry.address))
        return (order_for_retry(known, tried) or known)[0]

    def _is_suspect(self, address: EntryAddress) -> bool:
        return self._suspects.get(address, 0.0) > trio.current_time()

    async def _current_entries(self, until: float) -> tuple[KnownEntry, ...]:
        async with self._lookup_lock:
            if trio.current_time() >= self._fresh_until:
                await self._refresh(until)
            return self._known

    async def _refresh(self, until: float) -> None:
        reasons = []
        for address in self._lookup_addresses():
            answer = await self._look_up(address, until)
            if not isinstance(answer, str):
                self._known = tuple(_to_known_entry(entry) for entry in answer["entries"])
                self._fresh_until = trio.current_time() + answer["ttl_s"]
                return
            reasons.append(f"{address} {answer}")
        if not self._known:
            raise NoEntryAvailable(
                f"no entry answered a lookup ({', '.join(reasons)}); check the entries given to "
                "Caller and the deadline"
            )
        # A stale answer is better than none: entries may serve requests although they do not answer
        # lookups. A binding in it may be outdated; the entry then refuses it, see `keys`.
        self._fresh_until = trio.current_time() + _FAILED_LOOKUP_DELAY_S

    def _lookup_addresses(self) -> list[EntryAddress]:
        known = [entry.address for entry in self._known]
        seeds = list(self._seeds)
        # Shuffled, as otherwise the first seed would answer the lookups of all callers.
        self._rng.shuffle(seeds)
        return sorted(dict.fromkeys(known + seeds), key=self._is_suspect)

    async def _look_up(self, address: EntryAddress, until: float) -> LookupAnswer | str:
        """Return the answer to a lookup, or the reason why there is none."""
        until = min(until, trio.current_time() + _LOOKUP_TIMEOUT_S)
        reply = await self._exchanges.exchange(
            address, Outgoing("GET", self._target, [], b""), until=until
        )
        if not isinstance(reply, Reply):
            self.mark_suspect(address)
            return reply.reason
        if reply.status != _OK:
            return f"status-{reply.status}"
        read = decode_json(reply.body, LookupAnswer)
        if isinstance(read, Err):
            return f"unreadable: {read.err_value}"
        return read.ok_value if read.ok_value["entries"] else "no-entries"


def _to_known_entry(entry: LookupEntry) -> KnownEntry:
    address = EntryAddress(entry["address"], entry["port"])
    return KnownEntry(address, entry["failure_domain"], entry["binding"])
