"""The metrics page, as JSON for the command line and as text for Prometheus."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

import trio

from wagtailpoint.observe.metrics import LatencyKey, LatencySummary, Metrics
from wagtailpoint.observe.prometheus import Family, Sample, format_text
from wagtailpoint.ports.peers import PeerCounts, Traffic


class MetricsSnapshot(NamedTuple):
    """All metrics at one moment.

    Attributes:
        counts: Event counts by name.
        latencies: Latency summaries with their percentiles.
        peers: Counts of messages to and from peers.
        gauges: Current values by name, for example ``open_requests``.
    """

    counts: Mapping[str, int]
    latencies: Sequence[tuple[LatencyKey, LatencySummary]]
    peers: PeerCounts
    gauges: Mapping[str, float]


async def collect_metrics(
    metrics: Metrics, peers: PeerCounts, gauges: Mapping[str, float]
) -> MetricsSnapshot:
    """Collect all metrics.

    Yields to other tasks after each summary, as computing all percentiles at once would delay
    callers.
    """
    latencies = []
    for latency in metrics.latencies():
        latencies.append(latency)
        await trio.lowlevel.checkpoint()
    return MetricsSnapshot(dict(metrics.counts), latencies, peers, gauges)


def metrics_json(snapshot: MetricsSnapshot) -> dict[str, Any]:
    """Return a snapshot as a JSON value."""
    peers = snapshot.peers
    return {
        "gauges": dict(snapshot.gauges),
        "counts": dict(snapshot.counts),
        "latencies": [{**key._asdict(), **summary} for key, summary in snapshot.latencies],
        "peers": {
            "sent": _traffic_fields(peers.sent),
            "received": _traffic_fields(peers.received),
            "dropped": dict(peers.dropped),
        },
    }


def metrics_text(snapshot: MetricsSnapshot) -> bytes:
    """Return a snapshot in the Prometheus text format."""
    families = [
        Family(f"wagtailpoint_{name}", "gauge", "Now.", [Sample({}, value)])
        for name, value in snapshot.gauges.items()
    ]
    counts = [Sample({"event": name}, number) for name, number in snapshot.counts.items()]
    families.append(Family("wagtailpoint_events_total", "counter", "Events by name.", counts))
    families += _latency_families(snapshot.latencies)
    families += _peer_families(snapshot.peers)
    return format_text(families)


def _latency_families(latencies: Sequence[tuple[LatencyKey, LatencySummary]]) -> list[Family]:
    by_measure: dict[str, list[Sample]] = {}
    for key, summary in latencies:
        by_measure.setdefault(key.measure, []).extend(_latency_samples(key, summary))
    return [
        Family(f"wagtailpoint_{measure}_seconds", "summary", "Latency in seconds.", samples)
        for measure, samples in by_measure.items()
    ]


def _latency_samples(key: LatencyKey, summary: LatencySummary) -> list[Sample]:
    labels = {
        name.removeprefix("request_"): value
        for name, value in key._asdict().items()
        if value and name != "measure"
    }
    quantiles = [
        Sample({**labels, "quantile": f"{float(name[1:]) / 100:g}"}, value / 1000)
        for name, value in summary["percentiles_ms"].items()
    ]
    return [
        *quantiles,
        Sample(labels, summary["sum_ms"] / 1000, "_sum"),
        Sample(labels, summary["count"], "_count"),
    ]


def _peer_families(peers: PeerCounts) -> list[Family]:
    messages, sizes = [], []
    for direction, traffic in (("sent", peers.sent), ("received", peers.received)):
        for kind, counted in traffic.items():
            labels = {"direction": direction, "kind": kind}
            messages.append(Sample(labels, counted.messages))
            sizes.append(Sample(labels, counted.bytes))
    dropped = [Sample({"reason": reason}, number) for reason, number in peers.dropped.items()]
    return [
        Family("wagtailpoint_peer_messages_total", "counter", "Messages to peers.", messages),
        Family("wagtailpoint_peer_bytes_total", "counter", "Bytes to and from peers.", sizes),
        Family("wagtailpoint_peer_dropped_total", "counter", "Messages dropped.", dropped),
    ]


def _traffic_fields(traffic: Mapping[str, Traffic]) -> dict[str, Any]:
    return {kind: counted._asdict() for kind, counted in traffic.items()}
