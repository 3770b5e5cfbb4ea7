"""The messages that distribute the configuration between instances."""

from typing import NamedTuple

from wagtailpoint.config.manifest import ChangeInfo
from wagtailpoint.ports.peers import register_message


class ConfigAnnouncement(NamedTuple):
    """Announces the configuration version that the sender has."""

    version: int


class ConfigRequest(NamedTuple):
    """Requests one part of the delta from one version to a newer one.

    Attributes:
        from_version: The version that the sender has; 0 if none, or to get the whole configuration.
        version: The requested version; 0 for the newest.
        part: The index of the requested part, from 0.
    """

    from_version: int
    version: int
    part: int


class ConfigPart(NamedTuple):
    """One part of the delta from one version to a newer one.

    Attributes:
        change: Describes the newer version; None if the sender does not have the requested
            version, or nothing newer.
        from_version: The version to which the delta applies; 0 if it is the whole configuration,
            as when the requester's version is too old for its changes to be known.
        digest: The digest of the whole newer configuration.
        parts: The number of parts of the delta.
        data: The bytes of this part.
    """

    change: ChangeInfo | None
    from_version: int
    digest: bytes
    parts: int
    data: bytes


register_message("config-have", ConfigAnnouncement)
register_message("config-ask", ConfigRequest)
register_message("config-part", ConfigPart)
