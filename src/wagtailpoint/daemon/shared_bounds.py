"""The bounds that all instances share, as the parts of the request path take them."""

from wagtailpoint.daemon.settings_file import SettingsFile
from wagtailpoint.placement.cold_pacing import ColdBound
from wagtailpoint.proxy.shared_retry_budget import RetryBound


class SharedBounds:
    """Reads the bounds in force from the settings file."""

    def __init__(self, *, settings_file: SettingsFile) -> None:
        """Initialise with the file that provides the bounds."""
        self._settings_file = settings_file

    def cold(self) -> ColdBound:
        """Return the bound on requests to cold backend servers."""
        bounds = self._settings_file.bounds
        return ColdBound(bounds.cold_overage, bounds.cold_slack)

    def retry(self) -> RetryBound:
        """Return the bound on repeated sends."""
        bounds = self._settings_file.bounds
        return RetryBound(bounds.retry_ratio, bounds.retry_slack)
