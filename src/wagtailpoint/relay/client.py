"""Opens connections to backend servers through other instances."""

from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from random import Random
from typing import Final

import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.membership.member import Member
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.distances import Distances
from wagtailpoint.ports.backend import BackendAddress, FailureReason
from wagtailpoint.proxy.backend_connection import ExchangeFailed
from wagtailpoint.proxy.backend_dialer import OpenedStream, connect_timeout_s, open_stream
from wagtailpoint.relay.confirmations import RelayConfirmations
from wagtailpoint.relay.marked_end import RelayedStream
from wagtailpoint.relay.peer_choice import order_relays
from wagtailpoint.relay.protocol import (
    FAILURE_OF_STATUS,
    InvalidOpening,
    RelayAnswer,
    encode_request,
    read_answer,
)
from wagtailpoint.verdict import Verdict

MAX_RELAYS_TRIED: Final = 3
AVOIDANCE_S: Final = 1.0
"""Time for which an instance that failed to relay is not asked again."""


class RelayClient:
    """Opens relayed connections."""

    def __init__(
        self,
        *,
        own: Callable[[], Member],
        members: Callable[[], Iterable[Member]],
        port: int,
        region_of: Mapping[str, str],
        distances: Distances,
        record_backoff: Callable[[str, float], None],
        confirmations: RelayConfirmations,
        metrics: Metrics,
        random: Random,
    ) -> None:
        """Initialise the client.

        Args:
            own: Returns this instance as a member.
            members: Returns all instances.
            port: The port at which instances relay, the same for all.
            region_of: The region of each failure domain.
            distances: Gives the round trip times for timeouts.
            record_backoff: Called with the start of a backend server that wants no requests from a
                relay, and the seconds.
            confirmations: Which relays have lately said that they go on.
            metrics: Counts connections by result.
            random: Spreads connections over the instances.
        """
        self._own = own
        self._members = members
        self._port = port
        self._region_of = region_of
        self._distances = distances
        self._record_backoff = record_backoff
        self._confirmations = confirmations
        self._metrics = metrics
        self._random = random
        self._avoided_until: dict[str, float] = {}

    def is_usable(self, relay: str, *, ends_by: float | None = None) -> bool:
        """Return whether requests may be sent on a connection through a relay.

        Args:
            relay: The relay as in ``OpenedStream.relay``.
            ends_by: The deadline of a request, by trio's clock; None to keep an idle connection.
        """
        address = relay.partition("#")[0]
        return self._confirmations.is_confirmed(address, ends_by=ends_by) and any(
            member.address == address and member.is_serving for member in self._members()
        )

    async def open(self, entry: ServerEntry, *, may_leave_region: bool = True) -> OpenedStream:
        """Open a connection to a backend server through another instance.

        Args:
            entry: The backend server.
            may_leave_region: Whether that instance may be in another region than the server, if
                none of the server's region can relay.

        Raises:
            ExchangeFailed: No other instance relays, none reaches the backend server, or it wants
                no requests from the relay.
        """
        failures: list[FailureReason] = []
        unreached: list[str] = []
        for member in self._relays(entry, may_leave_region)[:MAX_RELAYS_TRIED]:
            opened = await self._open_through(member, entry)
            if isinstance(opened, OpenedStream):
                # The others are cut off themselves, or do not know the backend server yet.
                self._avoid(*unreached)
                self._metrics.count("connection.opened.relayed")
                return opened
            if opened is None:
                self._avoid(member.address)
            else:
                failures.append(opened)
                unreached.append(member.address)
        self._metrics.count("connection.not-relayed")
        reason = failures[-1] if failures else FailureReason.CONNECT_FAILED
        raise ExchangeFailed(Verdict.NOT_RUN, reason, "through other instances")

    def _relays(self, entry: ServerEntry, may_leave_region: bool) -> list[Member]:
        now = trio.current_time()
        self._avoided_until = {
            address: until for address, until in self._avoided_until.items() if until > now
        }
        own = self._own()
        return order_relays(
            (member for member in self._members() if member.address != own.address),
            failure_domain=entry.failure_domain,
            region=self._region_of.get(entry.failure_domain, ""),
            avoided=self._avoided_until.keys(),
            may_leave_region=may_leave_region,
            random=self._random,
        )

    def _avoid(self, *addresses: str) -> None:
        until = trio.current_time() + AVOIDANCE_S
        self._avoided_until.update(dict.fromkeys(addresses, until))

    async def _open_through(
        self, member: Member, entry: ServerEntry
    ) -> OpenedStream | FailureReason | None:
        """Open a connection through one instance.

        Returns:
            The connection; why the instance does not reach the backend server; or None if it can't
            relay.
        """
        own = self._own()
        timeout_s = connect_timeout_s(self._distances.round_trip_s(member.failure_domain))
        stream: trio.SocketStream | None = None
        answer: RelayAnswer | None = None
        problem: object = "timeout"
        asked_at = trio.current_time()
        try:
            with trio.move_on_after(timeout_s):
                stream = await open_stream(
                    BackendAddress(member.address, self._port), source=own.address
                )
            if stream is not None:
                # The relay waits as long for the backend server as this instance would.
                with trio.move_on_after(2 * timeout_s):
                    await stream.send_all(encode_request(own.incarnation, entry))
                    answer = await read_answer(stream)
        except (OSError, trio.BrokenResourceError, InvalidOpening) as error:
            problem = error
        finally:
            if stream is not None and (answer is None or answer.status != HTTPStatus.OK):
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)
        if answer is not None and answer.status == HTTPStatus.OK and stream is not None:
            self._confirmations.record(member.address, asked_at)
            leaves_region = member.region != self._region_of.get(entry.failure_domain, "")
            relayed = RelayedStream(stream=stream, has_frames=answer.has_frames)
            return OpenedStream(relayed, f"{member.address}#{answer.number}", leaves_region)
        if answer is not None and answer.status == HTTPStatus.TOO_MANY_REQUESTS:
            self._record_backoff(entry.start.key, answer.backoff_s)
            raise ExchangeFailed(Verdict.NOT_RUN, FailureReason.BACKING_OFF, "at the relay")
        log_event(
            "relay-failed",
            relay=member.address,
            server=entry.server_id,
            status=answer.status if answer is not None else 0,
            error=problem if answer is None else "",
        )
        return FAILURE_OF_STATUS.get(answer.status) if answer is not None else None
