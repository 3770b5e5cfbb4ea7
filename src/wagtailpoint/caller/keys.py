"""Bindings of a caller's idempotency keys, by which all copies of a request go to one entry."""

from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager

from result import Ok

from wagtailpoint.admission.refusal import RefusalCode
from wagtailpoint.caller.answer import read_verdict, refusal_code, with_verdict
from wagtailpoint.caller.entries import KnownEntry
from wagtailpoint.caller.exchange import FailedExchange, Reply
from wagtailpoint.idempotency.binding import parse_binding
from wagtailpoint.verdict import Verdict

# Refusals that hold for the refused copy only: the entry does not know of earlier copies.
_COPY_REFUSAL_CODES = frozenset(
    {RefusalCode.STALE_EPOCH.value, RefusalCode.OTHER_INCARNATION.value}
)


class BoundKey:
    """The binding of one key, and the number of its copies that may have been sent.

    A key that is bound to another entry while a copy is in transit can run twice. It is therefore
    bound anew only if no copy was sent, or if the bound entry answered that none of them will run.
    """

    def __init__(self) -> None:
        self._entry: KnownEntry | None = None
        self._attempt = 0
        self._copies = 0
        self._calls = 0

    @property
    def entry(self) -> KnownEntry | None:
        """The bound entry; None while the key may be bound to any entry."""
        return self._entry

    @property
    def copies(self) -> int:
        """Number of copies of this attempt that may have been sent, by all tasks."""
        return self._copies

    @property
    def is_not_run_certain(self) -> bool:
        """Whether a ``not-run`` is certain: no other copy or call of the key can be in progress."""
        return self._copies == 0 and self._calls == 1

    @contextmanager
    def call(self) -> Iterator[None]:
        """Return a context that counts a call while it may send copies."""
        self._calls += 1
        try:
            yield
        finally:
            self._calls -= 1

    def bind(self, entry: KnownEntry) -> KnownEntry:
        """Bind this attempt, unless another task has bound the key, and return the bound entry."""
        if self._entry is None:
            self._entry = _with_attempt(entry, self._attempt)
        return self._entry

    def record_copy(self) -> None:
        """Count a copy, before it is sent so that it stays counted if the task is cancelled."""
        self._copies += 1

    def settle(
        self, entry: KnownEntry, result: Reply | FailedExchange, *, via_other_entry: bool = False
    ) -> Reply | FailedExchange:
        """Update the binding after the result of one copy.

        Args:
            entry: The entry to which the copy was bound: the same object that ``bind`` returned.
            result: The result of the copy.
            via_other_entry: Whether the copy was sent to another entry, to ask the bound one.

        Returns:
            The result, with its verdict corrected by the number of copies that may have been sent,
            which only the caller knows.
        """
        if isinstance(result, FailedExchange):
            if not result.sent:
                self._discard_unsent_copy(entry)
            return result
        verdict = read_verdict(result.headers)
        if entry is not self._entry and verdict is not Verdict.RAN:
            # A late answer to an earlier attempt shows nothing about the current one.
            return with_verdict(result, Verdict.MAY_HAVE_RUN)
        is_only_copy = self._copies == 1
        refusal = refusal_code(result.status, result.body)
        if (
            via_other_entry
            and refusal != RefusalCode.KEY_REFUSED.value
            and verdict is Verdict.NOT_RUN
        ):
            # Other refusals of another entry hold for the copy that it got only. KEY_REFUSED means
            # that it asked the bound entry, which has forbidden the key.
            verdict = Verdict.MAY_HAVE_RUN
        elif is_only_copy and refusal in _COPY_REFUSAL_CODES:
            verdict = Verdict.NOT_RUN
        elif verdict is Verdict.NOT_RUN and not entry.binding and not is_only_copy:
            # Without a binding a refusal holds for the refused copy only.
            verdict = Verdict.MAY_HAVE_RUN
        if verdict is Verdict.NOT_RUN:
            self._start_next_attempt()
        return with_verdict(result, verdict)

    def _discard_unsent_copy(self, entry: KnownEntry) -> None:
        """Remove a copy that was certainly not sent from the count."""
        if entry is not self._entry:
            return
        self._copies -= 1
        if self._copies == 0:
            self._entry = None

    def _start_next_attempt(self) -> None:
        """Start the next attempt, which may be bound to any entry: no copy of this one will run."""
        self._entry = None
        self._copies = 0
        self._attempt += 1


class CallerKeys:
    """The most recently used keys of one caller."""

    def __init__(self, *, max_keys: int) -> None:
        self._max_keys = max_keys
        self._keys: OrderedDict[str, BoundKey] = OrderedDict()

    def get(self, key: str) -> BoundKey:
        """Return the binding of a key."""
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
            # An entry without a binding claims the key in the platform's store.
            return entry._replace(binding="")
