"""Distribution of the configuration between instances, so that few need to read the platform.

An instance that gets a newer version announces it to a few others, which fetch the difference and
announce it in turn. An instance that no announcement reaches learns of the version from the
membership gossip. A starting instance gets the whole configuration from any other instance, also
while the platform is unavailable.
"""

from collections import OrderedDict
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import trio
from result import Ok

from wagtailpoint.config.manifest import ChangeInfo, Snapshot
from wagtailpoint.membership.config_delta import (
    BrokenDelta,
    DeltaHistory,
    add_content_hashes,
    apply_delta,
    compute_digest,
    encode_delta,
)
from wagtailpoint.membership.config_messages import ConfigAnnouncement, ConfigPart, ConfigRequest
from wagtailpoint.membership.service import Membership
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.peers import PeerAddress, Peers, Received

PART_BYTES = 256 << 10
MAX_ENCODED_DELTAS = 4
MAX_ANNOUNCEMENTS = 64
NO_PART = ConfigPart(change=None, from_version=0, digest=b"", parts=0, data=b"")


class ConfigSpreadSettings(NamedTuple):
    """Settings of the distribution of the configuration.

    Attributes:
        fanout: The number of instances to which a new version is announced.
        reply_timeout_s: The time-out of a request for one part, in seconds.
        retry_pause_s: The mean delay after a fetch that failed or found nothing newer, in seconds.
    """

    fanout: int = 3
    reply_timeout_s: float = 2.0
    retry_pause_s: float = 0.5


class _Encoded(NamedTuple):
    change: ChangeInfo
    from_version: int
    digest: bytes
    data: bytes

    @property
    def parts(self) -> int:
        return max(1, -(-len(self.data) // PART_BYTES))

    def part(self, index: int) -> bytes:
        return self.data[index * PART_BYTES : (index + 1) * PART_BYTES]


class ConfigSpread:
    """Exchanges configuration versions with peers; never returns to an older version.

    Args:
        peers: The links to the other instances.
        membership: The other instances, with the version that each enforces.
        random: Chooses the instances to announce to and to fetch from, and varies delays.
        settings: Time-outs, delays and limits.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        membership: Membership,
        random: Random,
        settings: ConfigSpreadSettings | None = None,
    ) -> None:
        self._settings = settings or ConfigSpreadSettings()
        self._peers = peers
        self._membership = membership
        self._random = random
        self._current: Snapshot | None = None
        self._history = DeltaHistory()
        self._encoded: OrderedDict[tuple[int, int], _Encoded] = OrderedDict()
        self._announcements: OrderedDict[PeerAddress, int] = OrderedDict()
        self._callbacks: list[Callable[[Snapshot], None]] = []
        self._fetch_wanted = trio.Event()
        self._fetch_wanted.set()
        peers.handle(ConfigAnnouncement, self._on_announcement)
        peers.handle(ConfigRequest, self._on_request)
        membership.on_change(self._check_versions)

    def current(self) -> Snapshot | None:
        """Return the newest configuration that this instance has."""
        return self._current

    def on_snapshot(self, callback: Callable[[Snapshot], None]) -> None:
        """Call ``callback`` with each newer configuration that is fetched from a peer."""
        self._callbacks.append(callback)

    def offer(self, snapshot: Snapshot) -> bool:
        """Accept and announce a snapshot from the platform; return whether it is newer."""
        if snapshot.change.version <= self._version:
            return False
        self._accept(add_content_hashes(snapshot))
        return True

    async def run(self) -> None:
        """Fetch newer versions from peers until cancelled."""
        while True:
            await self._fetch_wanted.wait()
            self._fetch_wanted = trio.Event()
            source = self._choose_source()
            if source is None:
                continue
            if not await self._fetch(source):
                self._announcements.pop(source, None)
                await trio.sleep(self._settings.retry_pause_s * self._random.uniform(0.5, 1.5))
            self._fetch_wanted.set()

    @property
    def _version(self) -> int:
        return self._current.change.version if self._current is not None else 0

    def _accept(self, snapshot: Snapshot) -> None:
        if self._current is not None:
            self._history.add(self._current, snapshot)
        self._current = snapshot
        log_event("config-received", version=snapshot.change.version)
        self._announce()

    def _announce(self) -> None:
        others = [
            member
            for member in self._membership.members()
            if member.state != "dead"
            and member.config_version < self._version
            and member.address != self._peers.address.address
        ]
        for member in self._random.sample(others, min(self._settings.fanout, len(others))):
            self._peers.send(member.peer_address, ConfigAnnouncement(self._version))

    def _check_versions(self) -> None:
        if self._current is None or self._choose_source() is not None:
            self._fetch_wanted.set()

    def _on_announcement(self, received: Received) -> None:
        if received.message.version > self._version:
            self._announcements[received.sender] = received.message.version
            if len(self._announcements) > MAX_ANNOUNCEMENTS:
                self._announcements.popitem(last=False)
            self._fetch_wanted.set()

    def _choose_source(self) -> PeerAddress | None:
        members = [
            member
            for member in self._membership.members()
            if member.state != "dead" and member.address != self._peers.address.address
        ]
        sources = [
            member.peer_address for member in members if member.config_version > self._version
        ]
        sources += [
            peer for peer, version in self._announcements.items() if version > self._version
        ]
        if not sources and self._current is None:
            # No member reports a version yet, but one may have just received its first.
            sources = [member.peer_address for member in members]
        return self._random.choice(sources) if sources else None

    async def _fetch(self, source: PeerAddress) -> bool:
        """Fetch the newest version of one peer; return whether it had a newer one."""
        try:
            snapshot = await self._fetch_from(source, self._current)
        except BrokenDelta as error:
            # The peer made the delta for another base; the whole configuration needs none.
            log_event("config-delta-broken", level="WARNING", source=source, reason=error)
            snapshot = await self._fetch_from(source, None)
        if snapshot is None:
            return False
        # The platform may have delivered a newer version during the fetch.
        if snapshot.change.version > self._version:
            self._accept(snapshot)
            for callback in self._callbacks:
                callback(snapshot)
        return True

    async def _fetch_from(self, source: PeerAddress, base: Snapshot | None) -> Snapshot | None:
        """Return the newest version of one peer; None if it has none newer or does not answer.

        Raises:
            BrokenDelta: The received delta does not lead to that version.
        """
        from_version = base.change.version if base is not None else 0
        first_part = await self._request_part(source, ConfigRequest(from_version, 0, 0))
        if (
            first_part is None
            or first_part.change is None
            or first_part.change.version <= self._version
        ):
            return None
        data = [first_part.data]
        for index in range(1, first_part.parts):
            part = await self._request_part(
                source, ConfigRequest(from_version, first_part.change.version, index)
            )
            if part is None or part.change != first_part.change:
                return None
            data.append(part.data)
        base = base if first_part.from_version else None
        return apply_delta(base, b"".join(data), change=first_part.change, digest=first_part.digest)

    async def _request_part(self, source: PeerAddress, request: ConfigRequest) -> ConfigPart | None:
        timeout_s = self._settings.reply_timeout_s
        match await self._peers.request(source, request, timeout_s=timeout_s):
            case Ok(ConfigPart() as part):
                return part
            case _:
                return None

    def _on_request(self, received: Received) -> ConfigPart:
        request: ConfigRequest = received.message
        encoded = self._find_encoded(request)
        if encoded is None or request.part >= encoded.parts:
            return NO_PART
        return ConfigPart(
            change=encoded.change,
            from_version=encoded.from_version,
            digest=encoded.digest,
            parts=encoded.parts,
            data=encoded.part(request.part),
        )

    def _find_encoded(self, request: ConfigRequest) -> _Encoded | None:
        current = self._current
        if current is None or request.from_version >= current.change.version:
            return None
        # Parts of an older version are still served, so that a fetch that has begun can finish.
        key = (request.from_version, request.version or current.change.version)
        encoded = self._encoded.get(key)
        if encoded is None and key[1] == current.change.version:
            encoded = self._encode(current, request.from_version)
            self._encoded[key] = encoded
            while len(self._encoded) > MAX_ENCODED_DELTAS:
                self._encoded.popitem(last=False)
        return encoded

    def _encode(self, current: Snapshot, from_version: int) -> _Encoded:
        changed = self._history.changed_since(from_version) if from_version else None
        if changed is None:
            from_version, changed = 0, frozenset(current.objects)
        data = encode_delta(current, changed)
        return _Encoded(current.change, from_version, compute_digest(current.content_hashes), data)
