"""The requests of one class that wait, fair between workspaces."""

import heapq
from collections import Counter, OrderedDict
from typing import Any, Generic, NamedTuple, TypeVar

Item = TypeVar("Item")

_SPARE_ENTRIES = 16


class KeyedHeap:
    """Keys with a rank each; the key of the smallest rank is found in O(log n)."""

    def __init__(self) -> None:
        self._ranks: dict[str, Any] = {}
        self._heap: list[tuple[Any, str]] = []

    def put(self, key: str, rank: Any) -> None:
        """Add a key, or give it another rank."""
        if self._ranks.get(key) == rank:
            return
        self._ranks[key] = rank
        heapq.heappush(self._heap, (rank, key))
        # Entries of former ranks stay until they come to the top; without this they could pile up.
        if len(self._heap) > 4 * len(self._ranks) + _SPARE_ENTRIES:
            self._heap = [(rank, key) for key, rank in self._ranks.items()]
            heapq.heapify(self._heap)

    def remove(self, key: str) -> None:
        """Remove a key."""
        del self._ranks[key]

    def smallest(self) -> str:
        """The key of the smallest rank; ``IndexError`` if there is none."""
        while True:
            rank, key = self._heap[0]
            if key in self._ranks and self._ranks[key] == rank:
                return key
            heapq.heappop(self._heap)


class _Rank(NamedTuple):
    """Who is next: the workspace that holds the fewest slots; of equals the one served longest ago.

    Counting slots held, not requests, makes a workspace of long downloads wait for as long as it
    holds its part, while the others' short requests pass.
    """

    held: int
    served: int


class FairQueue(Generic[Item]):
    """Waiting requests of one class, first come first served within each workspace."""

    def __init__(self) -> None:
        self._flows: dict[str, OrderedDict[int, Item]] = {}
        self._held: Counter[str] = Counter()
        self._served: dict[str, int] = {}
        self._turn = 0
        self._next = KeyedHeap()
        self._longest = KeyedHeap()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def ahead_of_newcomer(self, workspace: str) -> int:
        """How many would be served before another request of this workspace, at the most."""
        own = len(self._flows.get(workspace, ()))
        others = len(self._flows) - (workspace in self._flows)
        return min(self._size, own + (own + 1) * others)

    def ahead_of_newest(self, workspace: str) -> int:
        """How many are served before the newest request of this workspace, at the most."""
        own = len(self._flows[workspace])
        return min(self._size - 1, own - 1 + own * (len(self._flows) - 1))

    def waiting_of(self, workspace: str) -> int:
        """How many requests of a workspace wait."""
        return len(self._flows.get(workspace, ()))

    def push(self, workspace: str, number: int, item: Item) -> None:
        """Add a request at the end of its workspace's line; ``number`` names it."""
        flow = self._flows.setdefault(workspace, OrderedDict())
        flow[number] = item
        self._size += 1
        self._rank(workspace)

    def remove(self, workspace: str, number: int) -> None:
        """Remove a request, wherever it stands."""
        flow = self._flows[workspace]
        del flow[number]
        self._size -= 1
        if flow:
            self._rank(workspace)
            return
        del self._flows[workspace]
        self._next.remove(workspace)
        self._longest.remove(workspace)

    def first(self) -> Item:
        """The request to be served next."""
        return next(iter(self._flows[self._next.smallest()].values()))

    def last(self) -> Item:
        """The request to be refused first: the newest of the workspace with the most waiting."""
        return next(reversed(self._flows[self._longest.smallest()].values()))

    def note_taken(self, workspace: str) -> None:
        """A request of the workspace took a slot."""
        self._held[workspace] += 1
        self._turn += 1
        self._served[workspace] = self._turn
        self._rank_if_waiting(workspace)

    def note_released(self, workspace: str) -> None:
        """A request of the workspace gave its slot back."""
        self._held[workspace] -= 1
        if not self._held[workspace]:
            del self._held[workspace]
        self._rank_if_waiting(workspace)

    def _rank_if_waiting(self, workspace: str) -> None:
        if workspace in self._flows:
            self._rank(workspace)

    def _rank(self, workspace: str) -> None:
        rank = _Rank(self._held[workspace], self._served.get(workspace, 0))
        self._next.put(workspace, rank)
        self._longest.put(workspace, -len(self._flows[workspace]))
