"""Pages of an instance on the platform: readiness, lookups and metrics."""

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from wagtailpoint.daemon.metrics_page import collect_metrics, metrics_text
from wagtailpoint.daemon.routing_explainer import RoutingExplainer, parse_explain
from wagtailpoint.lookup.entry_choice import EntryChoice
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.observe.prometheus import CONTENT_TYPE
from wagtailpoint.platform.pages import (
    CallerLocation,
    encode_lookup,
    is_readiness_check,
    parse_lookup,
)
from wagtailpoint.ports.peers import Peers
from wagtailpoint.proxy.caller_exchange import CallerExchange, IncomingRequest

LOOKUP_TTL_S = 2.0
"""Time for which callers cache a lookup, unless the operators demand less. A stopping instance has
to serve them for this time, and a lost one causes failed connections for this time. A shorter time
means more lookups, each of which takes about 1 ms of processor time."""

MAX_ADDRESSES = 64
"""Callers reject lookup answers with more addresses."""

JSON = ((b"content-type", b"application/json"),)


class EntryPages:
    """Answers readiness checks, lookups and metrics scrapes."""

    def __init__(
        self,
        *,
        lookup_ttl_max_s: Callable[[], float],
        entries: EntryChoice,
        is_ready: Callable[[], bool],
        metrics: Metrics,
        peers: Peers,
        gauges: Callable[[], dict[str, float]],
        explainer: RoutingExplainer,
    ) -> None:
        """Initialise the pages.

        Args:
            lookup_ttl_max_s: Returns the operators' bound of the TTL of lookups, in seconds.
            entries: Selects the instances that callers should use.
            is_ready: Whether this instance accepts requests.
            metrics: Counts and latencies of this instance.
            peers: Links to the peers, for their message counts.
            gauges: Returns the current values of the gauges.
            explainer: Explains where a request would be sent.
        """
        self._lookup_ttl_max_s = lookup_ttl_max_s
        self._entries = entries
        self._is_ready = is_ready
        self._metrics = metrics
        self._peers = peers
        self._gauges = gauges
        self._explainer = explainer

    async def handle(self, request: IncomingRequest, caller: CallerExchange) -> None:
        """Answer a readiness check or a lookup."""
        if is_readiness_check(request.target):
            ready = self._is_ready()
            await caller.reply(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE, (), b"")
            return
        question = parse_lookup(request.target)
        if question is None:
            await caller.reply(HTTPStatus.NOT_FOUND, (), b"no such page\n")
            return
        entries = self.entries_for(question)
        if not entries:
            log_event("lookup-empty", level="WARNING", domain=question.failure_domain)
            await caller.reply(HTTPStatus.SERVICE_UNAVAILABLE, (), b"no entry is known\n")
            return
        self._metrics.count("lookup.answered")
        await caller.reply(HTTPStatus.OK, JSON, encode_lookup(entries, self._ttl_s()))

    async def handle_metrics(self, request: IncomingRequest, caller: CallerExchange) -> None:
        """Answer with all metrics in the Prometheus text format, or with an explanation."""
        query = parse_explain(request.target)
        if query is not None:
            explanation = msgspec.json.encode(self._explainer.explain(query))
            await caller.reply(HTTPStatus.OK, JSON, explanation)
            return
        snapshot = await collect_metrics(self._metrics, self._peers.counts, self._gauges())
        headers = ((b"content-type", CONTENT_TYPE),)
        await caller.reply(HTTPStatus.OK, headers, metrics_text(snapshot))

    def entries_for(self, question: CallerLocation) -> list[Endpoint]:
        """Return the nearest entries for a caller, at most ``MAX_ADDRESSES``."""
        nearest = self._entries.nearest(question.failure_domain, question.region)
        return [Endpoint(entry.address, entry.port) for entry in nearest[:MAX_ADDRESSES]]

    def _ttl_s(self) -> float:
        return min(LOOKUP_TTL_S, self._lookup_ttl_max_s())
