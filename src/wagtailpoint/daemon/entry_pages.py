"""What an instance answers besides requests: readiness, lookups, metrics."""

from collections.abc import Callable
from http import HTTPStatus

from wagtailpoint.daemon.metrics_page import collect_metrics, metrics_text
from wagtailpoint.lookup.entry_choice import EntryChoice
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.observe.prometheus import CONTENT_TYPE
from wagtailpoint.platform.pages import LookupQuestion, encode_lookup, is_readiness, parse_lookup
from wagtailpoint.ports.peers import Peers
from wagtailpoint.proxy.caller_exchange import CallerExchange, IncomingRequest

LOOKUP_TTL_S = 2.0
"""How long callers keep an answer: an instance that stops serves them for so long, and one that is
lost costs them failed connections for so long. Each lookup takes about 1 ms of processor time."""

MAX_ADDRESSES = 64
"""Callers accept no more addresses in an answer."""

JSON = ((b"content-type", b"application/json"),)


class EntryPages:
    """Answers the platform's and the callers' questions."""

    def __init__(
        self,
        *,
        lookup_ttl_max_s: Callable[[], float],
        entries: EntryChoice,
        is_ready: Callable[[], bool],
        metrics: Metrics,
        peers: Peers,
        gauges: Callable[[], dict[str, float]],
    ) -> None:
        """Make them.

        Args:
            lookup_ttl_max_s: Callers keep an answer no longer than this, in seconds.
            entries: Which instances callers shall use.
            is_ready: Whether this instance takes requests.
            metrics: Counts and latencies.
            peers: For their counts.
            gauges: Values of this moment.
        """
        self._lookup_ttl_max_s = lookup_ttl_max_s
        self._entries = entries
        self._is_ready = is_ready
        self._metrics = metrics
        self._peers = peers
        self._gauges = gauges

    async def handle(self, request: IncomingRequest, caller: CallerExchange) -> None:
        """Answer a question."""
        if is_readiness(request.target):
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
        """Answer with all metrics as text."""
        snapshot = await collect_metrics(self._metrics, self._peers.counts, self._gauges())
        headers = ((b"content-type", CONTENT_TYPE),)
        await caller.reply(HTTPStatus.OK, headers, metrics_text(snapshot))

    def entries_for(self, question: LookupQuestion) -> list[Endpoint]:
        """The entries that a caller shall use: the nearest that there are."""
        nearest = self._entries.nearest(question.failure_domain, question.region)
        return [Endpoint(entry.address, entry.port) for entry in nearest[:MAX_ADDRESSES]]

    def _ttl_s(self) -> float:
        return min(LOOKUP_TTL_S, self._lookup_ttl_max_s())
