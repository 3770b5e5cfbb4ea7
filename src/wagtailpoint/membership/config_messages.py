"""The messages by which the configuration goes from instance to instance."""

from typing import NamedTuple

from wagtailpoint.config.manifest import ChangeInfo
from wagtailpoint.ports.peers import register_message


class ConfigAnnouncement(NamedTuple):
    """Tells that the sender has a version."""

    version: int


class ConfigRequest(NamedTuple):
    """Asks for one part of what leads from one version to a newer one.

    Attributes:
        from_version: What the sender has; 0 if nothing, or to get everything.
        version: What it wants; 0 for the newest.
        part: Which part; the first is 0.
    """

    from_version: int
    version: int
    part: int


class ConfigPart(NamedTuple):
    """One part of what leads from one version to a newer one.

    Attributes:
        change: The newer version; None if the sender does not have it, or nothing newer.
        from_version: What the parts have to be applied to; 0 if to nothing, as when the version
            asked from is too old for its changes to be known.
        digest: Of the whole newer configuration.
        parts: How many parts there are.
        data: This part.
    """

    change: ChangeInfo | None
    from_version: int
    digest: bytes
    parts: int
    data: bytes


register_message("config-have", ConfigAnnouncement)
register_message("config-ask", ConfigRequest)
register_message("config-part", ConfigPart)
