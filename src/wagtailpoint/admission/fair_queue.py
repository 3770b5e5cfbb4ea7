"""Fair queueing of the waiting requests of one class between workspaces."""

import heapq
from collections import Counter, OrderedDict
from typing import Any, Generic, NamedTuple, TypeVar

Item = TypeVar("Item")

_COMPACTION_SLACK = 16


class KeyedHeap:
    """A priority queue of keys whose ranks can change; all operations take O(log n) amortised."""

    def __init__(self) -> None:
        self._ranks: dict[str, Any] = {}
        self._heap: list[tuple[Any, str]] = []

    def set_rank(self, key: str, rank: Any) -> None:
        """Add a key, or change its rank."""
        if self._ranks.get(key) == rank:
            return
        self._ranks[key] = rank
        heapq.heappush(self._heap, (rank, key))
        # Entries of former ranks are dropped only at the top; compaction bounds their number.
        if len(self._heap) > 4 * len(self._ranks) + _COMPACTION_SLACK:
            self._heap = [(rank, key) for key, rank in self._ranks.items()]
            heapq.heapify(self._heap)

    def remove(self, key: str) -> None:
        """Remove a key."""
        del self._ranks[key]

    def smallest_key(self) -> str:
        """Return the key with the smallest rank.

        Raises:
            IndexError: If there is no key.
        """
        while True:
            rank, key = self._heap[0]
            if key in self._ranks and self._ranks[key] == rank:
                return key
            heapq.heappop(self._heap)


class _Rank(NamedTuple):
    """Rank of a workspace: fewest slots held first; among equals, the least recently served first.

    Slots held are compared instead of requests served, so that a workspace with long downloads
    waits while it holds its share, and the short requests of other workspaces go first.

    Attributes:
        held: Number of slots that the workspace holds.
        served: Sequence number of its latest served request; 0 if none was served.
    """

    held: int
    served: int


class FairQueue(Generic[Item]):
    """The waiting requests of one class, served first come, first served within a workspace."""

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

    def count_ahead_of_new(self, workspace: str) -> int:
        """Return the maximum number of requests served before a new one of the workspace."""
        own = len(self._flows.get(workspace, ()))
        others = len(self._flows) - (workspace in self._flows)
        return min(self._size, own + (own + 1) * others)

    def count_ahead_of_newest(self, workspace: str) -> int:
        """Return the maximum number of requests served before the newest one of the workspace."""
        own = len(self._flows[workspace])
        return min(self._size - 1, own - 1 + own * (len(self._flows) - 1))

    def waiting_count(self, workspace: str) -> int:
        """Return the number of waiting requests of a workspace."""
        return len(self._flows.get(workspace, ()))

    def push(self, workspace: str, number: int, item: Item) -> None:
        """Add a request, identified by ``number``, at the end of its workspace's queue."""
        flow = self._flows.setdefault(workspace, OrderedDict())
        flow[number] = item
        self._size += 1
        self._rank(workspace)

    def remove(self, workspace: str, number: int) -> None:
        """Remove a request from any position."""
        flow = self._flows[workspace]
        del flow[number]
        self._size -= 1
        if flow:
            self._rank(workspace)
            return
        del self._flows[workspace]
        self._next.remove(workspace)
        self._longest.remove(workspace)

    def next_to_serve(self) -> Item:
        """Return the request to serve next."""
        return next(iter(self._flows[self._next.smallest_key()].values()))

    def next_to_drop(self) -> Item:
        """Return the request to refuse first: the newest of the workspace with the most waiting."""
        return next(reversed(self._flows[self._longest.smallest_key()].values()))

    def record_taken(self, workspace: str) -> None:
        """Record that a request of the workspace took a slot."""
        self._held[workspace] += 1
        self._turn += 1
        self._served[workspace] = self._turn
        self._rank_if_waiting(workspace)

    def record_released(self, workspace: str) -> None:
        """Record that a request of the workspace released its slot."""
        self._held[workspace] -= 1
        if not self._held[workspace]:
            del self._held[workspace]
        self._rank_if_waiting(workspace)

    def _rank_if_waiting(self, workspace: str) -> None:
        if workspace in self._flows:
            self._rank(workspace)

    def _rank(self, workspace: str) -> None:
        rank = _Rank(self._held[workspace], self._served.get(workspace, 0))
        self._next.set_rank(workspace, rank)
        self._longest.set_rank(workspace, -len(self._flows[workspace]))
