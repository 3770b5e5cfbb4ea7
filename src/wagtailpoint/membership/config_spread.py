"""The configuration goes from instance to instance, so that few of them need to ask the platform.

Whoever gets a newer version tells a few others, which fetch what they lack and tell on. Who is not
told learns of it from the versions that the membership spreads. A starting instance gets all of it
from any other one, also while the platform is out.
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
    """The times and numbers of spreading the configuration.

    Attributes:
        fanout: How many others are told at once.
        reply_timeout_s: For one part.
        retry_pause_s: After a fetch that failed, and between two questions while there is none.
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
    """Moves the configuration between instances; never back to an older version.

    Args:
        peers: The links to the others.
        membership: Who they are, and which version each enforces.
        random: Chooses whom to tell and whom to ask.
        settings: Times and numbers.
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
        self._announced: OrderedDict[PeerAddress, int] = OrderedDict()
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
        """Call ``callback`` with each newer configuration that a peer had."""
        self._callbacks.append(callback)

    def offer(self, snapshot: Snapshot) -> bool:
        """Take in what was read from the platform and tell the others; False if it is not newer."""
        if snapshot.change.version <= self._version:
            return False
        self._accept(add_content_hashes(snapshot))
        return True

    async def run(self) -> None:
        """Fetch what others have, until cancelled."""
        while True:
            await self._fetch_wanted.wait()
            self._fetch_wanted = trio.Event()
            source = self._choose_source()
            if source is None:
                continue
            if not await self._fetch(source):
                self._announced.pop(source, None)
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
            self._announced[received.sender] = received.message.version
            if len(self._announced) > MAX_ANNOUNCEMENTS:
                self._announced.popitem(last=False)
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
        sources += [to for to, version in self._announced.items() if version > self._version]
        if not sources and self._current is None:
            # Nobody enforces a version yet, but one may have got it just now.
            sources = [member.peer_address for member in members]
        return self._random.choice(sources) if sources else None

    async def _fetch(self, source: PeerAddress) -> bool:
        """Fetch what one other has; False if nothing newer came of it."""
        try:
            snapshot = await self._fetch_from(source, self._current)
        except BrokenDelta as error:
            # The other one's idea of what this one has is wrong; everything is always right.
            log_event("config-delta-broken", level="WARNING", source=source, reason=error)
            snapshot = await self._fetch_from(source, None)
        if snapshot is None:
            return False
        # The platform may have delivered a newer one while the parts were on their way.
        if snapshot.change.version > self._version:
            self._accept(snapshot)
            for callback in self._callbacks:
                callback(snapshot)
        return True

    async def _fetch_from(self, source: PeerAddress, base: Snapshot | None) -> Snapshot | None:
        """Fetch the newest version that one other has; None if it has nothing newer.

        Raises:
            BrokenDelta: What arrived does not lead to that version.
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
        # Parts of a version that was replaced while it is being fetched are still given out.
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
