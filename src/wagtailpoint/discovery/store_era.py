"""The newest era of the store that this instance has heard of."""

from collections.abc import Callable

from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics


class StoreEra:
    """Tracks the era of the store, which rises with each of its returns to an earlier copy.

    Answers of the store and messages of other instances tell it. An older era never comes back:
    what belongs to one is late.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        """Initialise without knowing the era.

        Args:
            metrics: Counts the returns of the store.
        """
        self._metrics = metrics
        self._number: int | None = None
        self._returns = 0
        self._callbacks: list[Callable[[], None]] = []

    @property
    def number(self) -> int:
        """The newest era; 0 if none is known."""
        return self._number or 0

    @property
    def returns(self) -> int:
        """How often the store has returned to a copy while this process ran."""
        return self._returns

    def on_return(self, callback: Callable[[], None]) -> None:
        """Call ``callback``, which must not block, when a return of the store is noticed."""
        self._callbacks.append(callback)

    def record(self, era: int, *, source: str) -> None:
        """Record the era of an answer of the store, or of a revision that another instance sent.

        Args:
            era: The era.
            source: ``store`` or ``peer``.
        """
        before = self._number
        if before is None:
            self._number = era
            return
        if era <= before:
            return
        self._number = era
        self._returns += 1
        self._metrics.count(f"store.returned.{source}")
        log_event("store-returned", level="WARNING", era=era, before=before, source=source)
        for callback in self._callbacks:
            callback()
