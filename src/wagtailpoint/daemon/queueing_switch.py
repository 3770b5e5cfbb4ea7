"""For which services requests without room wait at this instance."""

from collections.abc import Callable

from wagtailpoint.node_settings import ServiceBounds


class QueueingSwitch:
    """Says whether requests of a service may wait.

    They may where a backend server of the service has reported the pace of its machine, which it
    then shares with others, or where the settings say so for all services.
    """

    def __init__(
        self, *, bounds: Callable[[], ServiceBounds], reports_pace: Callable[[str], bool]
    ) -> None:
        """Initialise the switch.

        Args:
            bounds: Returns the operators' bounds in force.
            reports_pace: Returns whether backend servers of a service have reported a pace.
        """
        self._bounds = bounds
        self._reports_pace = reports_pace

    def is_on(self, service: str) -> bool:
        """Return whether requests of a service may wait."""
        return self._reports_pace(service) or self._bounds().queues_requests
