"""Contents of the API pages, collected from the parts of the instance."""

from collections.abc import Mapping, Sequence
from http import HTTPStatus
from typing import Any

import msgspec
import trio
from result import Err

from wagtailpoint.admission.slots import SlotPool
from wagtailpoint.daemon.api import (
    Page,
    PageHandler,
    Query,
    QuickPage,
    bad_query_page,
    refusal_page,
)
from wagtailpoint.daemon.config_state import ConfigState
from wagtailpoint.daemon.draining import drain_status
from wagtailpoint.daemon.lookups import Lookups
from wagtailpoint.daemon.metrics_page import collect_metrics, metrics_json, metrics_text
from wagtailpoint.daemon.server_limits import ServerLimits
from wagtailpoint.daemon.shared_quarantine import SharedQuarantine
from wagtailpoint.entry.gate import RequestGate
from wagtailpoint.health.board import HealthBoard
from wagtailpoint.idempotency.keys import KeyStore
from wagtailpoint.membership import Member, Membership
from wagtailpoint.moves.board import MoveBoard, MoveStatus
from wagtailpoint.observe.hlc import ZERO_STAMP, parse_stamp
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.observe.prometheus import CONTENT_TYPE
from wagtailpoint.observe.timeline import Timeline, TimelineEvent, merge_timelines
from wagtailpoint.ports.peers import Peers

EVENTS_PER_BATCH = 200


class InstancePages:
    """Provides the handlers of all pages under ``/v1/``."""

    def __init__(
        self,
        *,
        config: ConfigState,
        membership: Membership,
        peers: Peers,
        lookups: Lookups,
        gate: RequestGate,
        slots: SlotPool,
        keys: KeyStore,
        health: HealthBoard,
        moves: MoveBoard,
        quarantine: SharedQuarantine,
        limits: ServerLimits,
        metrics: Metrics,
        timelines: Sequence[Timeline],
    ) -> None:
        self._config = config
        self._membership = membership
        self._peers = peers
        self._lookups = lookups
        self._gate = gate
        self._slots = slots
        self._keys = keys
        self._health = health
        self._moves = moves
        self._quarantine = quarantine
        self._limits = limits
        self._metrics = metrics
        self._timelines = timelines

    @property
    def handlers(self) -> Mapping[str, PageHandler]:
        """The asynchronous handlers by page name."""
        return {
            "status": self.status,
            "metrics": self.metrics,
            "timeline": self.timeline,
        }

    @property
    def quick(self) -> Mapping[str, QuickPage]:
        """The synchronous handlers by page name."""
        return {"lookup": self.lookup}

    def lookup(self, query: Query) -> Page:
        """Return the entries that a caller should use."""
        workspace, address = query.get("workspace"), query.get("address")
        if not workspace or not address:
            return bad_query_page(
                f"given workspace={workspace} and address={address}, expected "
                "/v1/lookup?workspace=NAME&address=IP"
            )
        answer = self._lookups.answer(workspace=workspace, address=address)
        self._metrics.count("lookup.refused" if isinstance(answer, Err) else "lookup.answered")
        if isinstance(answer, Err):
            return refusal_page(answer.err_value)
        return Page(HTTPStatus.OK, answer.ok_value)

    async def status(self, _query: Query) -> Page:
        """Return the state of this instance and what it knows of the members."""
        own = self._membership.own
        value = {
            "instance": _member_fields(own),
            "config_version": self._config.version,
            "config_rejected_version": self._config.rejected_version,
            "members": [_member_fields(member) for member in self._membership.members()],
            "requests": {
                "open": self._gate.open_requests,
                "queued": self._slots.queued,
                "slots_held": self._slots.in_flight,
                "keys_remembered": self._keys.size,
            },
            "moves": [_move_fields(move) for move in self._moves.status()],
            "drains": self._drains(),
            "backend_servers": self._backend_servers(),
        }
        return Page(HTTPStatus.OK, value)

    async def metrics(self, query: Query) -> Page:
        """Return gauges, and counts and latency percentiles since the start."""
        format_name = query.get("format", "json")
        if format_name not in ("json", "text"):
            return bad_query_page(f"given format={format_name[:20]!r}, expected json or text")
        snapshot = await collect_metrics(self._metrics, self._peers.counts, self._gauges())
        if format_name == "json":
            return Page(HTTPStatus.OK, metrics_json(snapshot))
        return Page(HTTPStatus.OK, metrics_text(snapshot), content_type=CONTENT_TYPE)

    async def timeline(self, query: Query) -> Page:
        """Return the newest events of this instance, in order of time."""
        try:
            since = parse_stamp(query["since"]) if "since" in query else ZERO_STAMP
        except ValueError as error:
            return bad_query_page(f"since: {error}")
        events = merge_timelines(timeline.since(since) for timeline in self._timelines)
        batches = []
        for start in range(0, len(events), EVENTS_PER_BATCH):
            batch = events[start : start + EVENTS_PER_BATCH]
            batches.append(msgspec.json.encode([_event_fields(event) for event in batch])[1:-1])
            # Encoding thousands of events at once would delay callers by a tenth of a second.
            await trio.lowlevel.checkpoint()
        return Page(HTTPStatus.OK, b'{"events":[' + b",".join(batches) + b"]}")

    def _drains(self) -> list[dict[str, Any]]:
        config = self._config.effective
        if config is None:
            return []
        return [drain._asdict() for drain in drain_status(config, self._slots.held_of)]

    def _gauges(self) -> dict[str, float]:
        return {
            "config_version": self._config.version,
            "open_requests": self._gate.open_requests,
            "queued_requests": self._slots.queued,
            "slots_held": self._slots.in_flight,
            "keys_remembered": self._keys.size,
            **self._quarantine.gauges,
            **self._limits.gauges,
        }

    def _backend_servers(self) -> list[dict[str, Any]]:
        config = self._config.effective
        if config is None:
            return []
        return [
            {
                "service": service.name,
                "group": group,
                "address": str(server.address),
                "failure_domain": server.failure_domain,
                "health": self._health.state_of(server.address).value,
                "slots_held": self._slots.held_of(server),
            }
            for service in config.services.values()
            for group, servers in service.groups.items()
            for server in servers
        ]


def _member_fields(member: Member) -> dict[str, Any]:
    fields = member._asdict()
    fields["incarnation"] = f"{member.incarnation:016x}"
    return fields


def _move_fields(move: MoveStatus) -> dict[str, Any]:
    return move._asdict() | {"evidence": move.evidence._asdict()}


def _event_fields(event: TimelineEvent) -> dict[str, Any]:
    return {
        **event.fields,
        "hlc": str(event.stamp),
        "instance": event.instance,
        "event": event.event,
    }
