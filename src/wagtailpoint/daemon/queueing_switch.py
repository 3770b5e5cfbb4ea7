"""For which services requests without room wait at this instance."""

from collections.abc import Callable

from wagtailpoint.node_settings import ServiceBounds


class QueueingSwitch:
    """Says whether requests of a service may wait.

    They may where a backend server of the service has reported the pace of its machine, which it
    then shares with others, or where the settings say so for all services.
    """

    def __init__(self, *, bounds: Callable[[], ServiceBounds]) -> None:
        """Initialise without reports.

        Args:
            bounds: Returns the operators' bounds in force.
        """
        self._bounds = bounds
        self._paced: set[str] = set()

    def record_pace_reported(self, service: str) -> None:
        """Record that a backend server of a configured service has reported a pace."""
        self._paced.add(service)

    def is_on(self, service: str) -> bool:
        """Return whether requests of a service may wait."""
        return service in self._paced or self._bounds().queues_requests
