"""What a caller remembers of its keys, so that every copy goes where the first one went."""

from collections import OrderedDict

from result import Ok

from wagtailpoint.caller.entries import KnownEntry
from wagtailpoint.idempotency.binding import parse_binding


class BoundKey:
    """Where a key is bound, and how many of its copies may have left.

    A key that is bound anew while a copy of it may be on its way can run twice. So it is bound
    anew only when no copy left, or when the bound entry said that none of them will run.
    """

    def __init__(self) -> None:
        self._entry: KnownEntry | None = None
        self._attempt = 0
        self._copies = 0

    @property
    def entry(self) -> KnownEntry | None:
        """The bound entry; None while the key may be bound to any."""
        return self._entry

    @property
    def copies(self) -> int:
        """Copies of this attempt that may have left, whichever task sent them."""
        return self._copies

    def bind(self, entry: KnownEntry) -> KnownEntry:
        """Bind this attempt, unless another task with the same key has just done it."""
        if self._entry is None:
            self._entry = _with_attempt(entry, self._attempt)
        return self._entry

    def note_copy(self) -> None:
        """Count a copy before it is sent: a cancelled task must leave it counted."""
        self._copies += 1

    def unsent(self, entry: KnownEntry) -> None:
        """A copy certainly did not leave: nobody connected it."""
        if entry is not self._entry:
            return
        self._copies -= 1
        if self._copies == 0:
            self._entry = None

    def not_run(self, entry: KnownEntry) -> None:
        """The entry said that this attempt, with all its copies, will not run there."""
        # Another task with the same key may have gone on to the next attempt already.
        if entry is self._entry:
            self._entry = None
            self._copies = 0
            self._attempt += 1


class CallerKeys:
    """The keys of one caller, the newest of them."""

    def __init__(self, *, most_keys: int) -> None:
        self._most_keys = most_keys
        self._keys: OrderedDict[str, BoundKey] = OrderedDict()

    def get(self, key: str) -> BoundKey:
        """Return what is known of a key."""
        bound = self._keys.get(key)
        if bound is None:
            bound = self._keys[key] = BoundKey()
        self._keys.move_to_end(key)
        if len(self._keys) > self._most_keys:
            self._keys.popitem(last=False)
        return bound


def _with_attempt(entry: KnownEntry, attempt: int) -> KnownEntry:
    match parse_binding(entry.binding):
        case Ok(binding):
            return entry._replace(binding=str(binding._replace(attempt=attempt)))
        case _:
            # An entry without a binding has the key claimed in the platform.
            return entry._replace(binding="")
