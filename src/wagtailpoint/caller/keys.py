"""What a caller remembers of its keys, so that every copy goes where the first one went."""

from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager

from result import Ok

from wagtailpoint.admission.refusal import RefusalCode
from wagtailpoint.caller.answer import read_verdict, refusal_code, with_verdict
from wagtailpoint.caller.entries import KnownEntry
from wagtailpoint.caller.exchange import Broken, Reply
from wagtailpoint.idempotency.binding import parse_binding
from wagtailpoint.verdict import Verdict

# The copy that got this answer will not run, but the entry cannot speak for earlier copies.
_COPY_REFUSAL_CODES = frozenset(
    {RefusalCode.STALE_EPOCH.value, RefusalCode.OTHER_INCARNATION.value}
)


class BoundKey:
    """Where a key is bound, and how many of its copies may have left.

    A key that is bound anew while a copy of it may be on its way can run twice. So it is bound
    anew only when no copy left, or when the bound entry said that none of them will run.
    """

    def __init__(self) -> None:
        self._entry: KnownEntry | None = None
        self._attempt = 0
        self._copies = 0
        self._calls = 0

    @property
    def entry(self) -> KnownEntry | None:
        """The bound entry; None while the key may be bound to any."""
        return self._entry

    @property
    def copies(self) -> int:
        """Copies of this attempt that may have left, whichever task sent them."""
        return self._copies

    @property
    def is_not_run_certain(self) -> bool:
        """Whether a ``not-run`` may be told: nothing else of this key is on its way, or may be."""
        return self._copies == 0 and self._calls == 1

    @contextmanager
    def call(self) -> Iterator[None]:
        """Count a call of the user as long as it may send copies."""
        self._calls += 1
        try:
            yield
        finally:
            self._calls -= 1

    def bind(self, entry: KnownEntry) -> KnownEntry:
        """Bind this attempt, unless another task with the same key has just done it."""
        if self._entry is None:
            self._entry = _with_attempt(entry, self._attempt)
        return self._entry

    def note_copy(self) -> None:
        """Count a copy before it is sent: a cancelled task must leave it counted."""
        self._copies += 1

    def settle(
        self, entry: KnownEntry, result: Reply | Broken, *, via_other_entry: bool = False
    ) -> Reply | Broken:
        """Draw the consequences of one copy's result.

        Args:
            entry: Where the copy was bound, the very object that ``bind`` returned.
            result: What came of it.
            elsewhere: It was sent to another entry, to ask the bound one.

        Returns:
            The result, its verdict corrected by what only the caller knows: how many copies left.
        """
        if isinstance(result, Broken):
            if not result.sent:
                self._discard_unsent_copy(entry)
            return result
        verdict = read_verdict(result.headers)
        if entry is not self._entry and verdict is not Verdict.RAN:
            # A late answer to an attempt that is over says nothing of the one that followed.
            return with_verdict(result, Verdict.MAY_HAVE_RUN)
        is_only_copy = self._copies == 1
        refusal = refusal_code(result.status, result.body)
        if (
            via_other_entry
            and refusal != RefusalCode.KEY_REFUSED.value
            and verdict is Verdict.NOT_RUN
        ):
            # Whatever else it refuses, another entry speaks for the copy that it got; this code
            # says that it asked the bound entry, which has forbidden the key.
            verdict = Verdict.MAY_HAVE_RUN
        elif is_only_copy and refusal in _COPY_REFUSAL_CODES:
            verdict = Verdict.NOT_RUN
        elif verdict is Verdict.NOT_RUN and not entry.binding and not is_only_copy:
            # Without a binding a refusal speaks for its own copy only.
            verdict = Verdict.MAY_HAVE_RUN
        if verdict is Verdict.NOT_RUN:
            self._start_next_attempt()
        return with_verdict(result, verdict)

    def _discard_unsent_copy(self, entry: KnownEntry) -> None:
        """A copy certainly did not leave."""
        if entry is not self._entry:
            return
        self._copies -= 1
        if self._copies == 0:
            self._entry = None

    def _start_next_attempt(self) -> None:
        """No copy of this attempt will run: the next one may be bound anywhere."""
        self._entry = None
        self._copies = 0
        self._attempt += 1


class CallerKeys:
    """The keys of one caller, the newest of them."""

    def __init__(self, *, max_keys: int) -> None:
        self._max_keys = max_keys
        self._keys: OrderedDict[str, BoundKey] = OrderedDict()

    def get(self, key: str) -> BoundKey:
        """Return what is known of a key."""
        bound = self._keys.get(key)
        if bound is None:
            bound = self._keys[key] = BoundKey()
        self._keys.move_to_end(key)
        if len(self._keys) > self._max_keys:
            self._keys.popitem(last=False)
        return bound


def _with_attempt(entry: KnownEntry, attempt: int) -> KnownEntry:
    match parse_binding(entry.binding):
        case Ok(binding):
            return entry._replace(binding=str(binding._replace(attempt=attempt)))
        case _:
            # An entry without a binding has the key claimed in the platform.
            return entry._replace(binding="")
