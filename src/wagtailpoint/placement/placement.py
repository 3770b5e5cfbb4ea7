"""Choice of a backend server: affinity, load, distance and failures, weighed as one loss."""

import copy
from collections.abc import Sequence
from typing import Final

import trio

from wagtailpoint.admission.start_ramp import StartRamp
from wagtailpoint.discovery.entries import ServerEntry, ServerStart
from wagtailpoint.discovery.fleet import Candidate, Fleet
from wagtailpoint.limits.limit_pacing import LimitPacing
from wagtailpoint.limits.requested_backoff import RequestedBackoffs
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.cached_fraction import CachedFraction
from wagtailpoint.placement.choice import (
    BACKING_OFF,
    Choice,
    Declined,
    Demand,
    NotPlaced,
    Observation,
    are_kept_back,
    expected_loss,
    is_too_late,
)
from wagtailpoint.placement.cold_pacing import ColdPacing
from wagtailpoint.placement.distances import Distances
from wagtailpoint.placement.entry_counts import EntryCounts
from wagtailpoint.placement.estimates import Estimates
from wagtailpoint.placement.explanation import (
    NOT_CONSIDERED,
    UNREACHABLE,
    Explanation,
    RecordingWeigher,
    make_explanation,
)
from wagtailpoint.placement.key_moves import KeyMoves
from wagtailpoint.placement.ranking import Ranked, Ranking, select_preferred, select_untried
from wagtailpoint.placement.region_mix import RegionMix
from wagtailpoint.placement.server_load import InFlightRequest, ServerLoad
from wagtailpoint.placement.service_samples import record_service_time
from wagtailpoint.placement.substitutes import promote_substitutes
from wagtailpoint.placement.unreachable_servers import UnreachableServers
from wagtailpoint.placement.utilisation import Utilisation
from wagtailpoint.placement.weigher import Weigher, cold_per_s

MAX_SPILLOVER_UTILISATION: Final = 0.3
"""Maximum utilisation of a service's slots at which a request may spill over to another backend
server if the preferred ones cannot serve it. Its object is not cached there and takes the time of
three cached ones, so under high load it would displace other requests, which would spill over
too."""


class Placement:
    """Chooses backend servers, and updates its estimates from the results of requests."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        distances: Distances,
        cold: ColdPacing,
        limits: LimitPacing,
        backoffs: RequestedBackoffs,
        cached_fraction: CachedFraction,
        mix: RegionMix,
        entries: EntryCounts,
        metrics: Metrics,
        ramp: StartRamp | None = None,
    ) -> None:
        """Initialise the placement without estimates.

        Args:
            fleet: The backend servers.
            distances: The round-trip times to them.
            cold: Limits the requests to cold backend servers.
            limits: Limits the requests to backend servers that state a limit.
            backoffs: The backend servers that want no requests for some time.
            cached_fraction: The fraction of keys to cache in each failure domain.
            mix: Limits how fast requests shift between regions.
            entries: The numbers of instances that share the callers.
            metrics: Receives the counts of moved keys.
            ramp: Bounds the requests to a backend server after a loss of all instances.
        """
        self._fleet = fleet
        self._distances = distances
        self._cold = cold
        self._limits = limits
        self._backoffs = backoffs
        self._cached_fraction = cached_fraction
        self._mix = mix
        self._estimates = Estimates()
        self._unreachable = UnreachableServers(fleet=fleet, estimates=self._estimates)
        self._utilisation = Utilisation(fleet=fleet, distances=distances, estimates=self._estimates)
        self._ranking = Ranking(
            fleet=fleet, own_domain=distances.failure_domain, own_region=distances.region
        )
        self._weigher: Weigher | RecordingWeigher = Weigher(
            fleet=fleet,
            distances=distances,
            cold=cold,
            limits=limits,
            cached_fraction=cached_fraction,
            estimates=self._estimates,
            entries=entries,
            ramp=ramp,
        )
        self._key_moves = KeyMoves(
            fleet=fleet,
            distances=distances,
            cached_fraction=cached_fraction,
            metrics=metrics,
            is_skipped=self._is_skipped,
        )

    @property
    def estimates(self) -> Estimates:
        """The estimates of backend servers and routes."""
        return self._estimates

    def load_of(self, entry: ServerEntry) -> ServerLoad:
        """Return the estimated load and health of a backend server since its start."""
        return self._estimates.load_of(entry)

    def record_request(self, demand: Demand) -> None:
        """Record a request of a caller."""
        cost = self._estimates.cost_of(demand.route, demand.service)
        now = trio.current_time()
        self._cached_fraction.record_request(demand.service, cost.service_s(now))
        self._estimates.reuse_of(demand.route).record(demand.key, now)

    def choose(self, demand: Demand) -> Choice | NotPlaced:
        """Choose the backend server for a request."""
        now = trio.current_time()
        order = self._ranking.order_candidates(
            demand.service, demand.key, demand.route.home_regions
        )
        ranked = self._promote_substitutes(order.ranked)
        backing_off = [option for option in ranked if not self._may_send_by_backoff(option)]
        if backing_off:
            ranked = [option for option in ranked if option not in backing_off]
            if not select_untried(ranked, demand.tried):
                ranked = self._ranking.order_where(demand, self._may_send_by_backoff)
        # If all backend servers are suspect, the fault may be at this instance: ignore the
        # suspicion.
        reachable = [
            option for option in ranked if not self._is_suspect(option.candidate.entry, now)
        ] or ranked
        untried = select_untried(reachable, demand.tried)
        if not untried:
            return self._not_placed(backing_off, now)
        preferred = self._preferred_servers(ranked, reachable, now)
        utilisation = self._utilisation.estimate(demand.service, now)

        def weigh(option: Ranked) -> Choice | Declined:
            return self._weigher.weigh(demand, option, order.position, utilisation, now)

        weighable = [option for option in untried if option in preferred]
        if not weighable and utilisation < MAX_SPILLOVER_UTILISATION:
            weighable = untried[:1]
        weighed = [weigh(option) for option in weighable]
        if are_kept_back(weighed, is_backing_off=bool(backing_off)):
            weighed += [weigh(option) for option in untried if option not in weighable]
        choices = [option for option in weighed if isinstance(option, Choice)]
        if not choices:
            declined = [option for option in weighed if isinstance(option, Declined)]
            return NotPlaced("no room", [*declined, *self._decline(backing_off, now)])
        best = self._choose_least_loss(choices, demand.remaining_s, now)
        if is_too_late(best, demand.remaining_s):
            return NotPlaced("too late")
        return best

    def explain(self, demand: Demand) -> Explanation:
        """Return what ``choose`` would return now and why, without changing what it returns next.

        A copy of this placement chooses, with an order of its own that is not cached.
        """
        twin = copy.copy(self)
        twin._ranking = self._ranking.without_cache()
        recording = RecordingWeigher(weigher=self._weigher)
        twin._weigher = recording
        chosen = twin.choose(demand)
        order = twin._ranking.order_candidates(
            demand.service, demand.key, demand.route.home_regions
        )
        options = recording.options | {
            option.candidate.entry.server_id: option for option in order.ranked
        }
        now = trio.current_time()
        passed_over = {
            server_id: self._pass_over(option, now)
            for server_id, option in options.items()
            if server_id not in recording.results
        }
        return make_explanation(chosen, options.values(), recording.results | passed_over)

    def _pass_over(self, option: Ranked, now: float) -> Declined:
        """Return why a candidate was not weighed."""
        (declined,) = self._decline([option], now)
        if not self._may_send_by_backoff(option):
            return declined
        suspect = self._is_suspect(option.candidate.entry, now)
        return declined._replace(reason=UNREACHABLE if suspect else NOT_CONSIDERED)

    def _promote_substitutes(self, ranked: Sequence[Ranked]) -> Sequence[Ranked]:
        if not self._limits.has_any and not self._backoffs.has_any:
            return ranked
        return promote_substitutes(
            ranked,
            lambda option: self._limits.has_limit(option.candidate.entry.start.key)
            or not self._may_send_by_backoff(option),
        )

    def _may_send_by_backoff(self, option: Ranked | Candidate) -> bool:
        candidate = option.candidate if isinstance(option, Ranked) else option
        return self._backoffs.may_send(candidate.entry.start.key)

    def _not_placed(self, backing_off: Sequence[Ranked], now: float) -> NotPlaced:
        """Return the result for a request whose candidates were all tried or are backing off."""
        if not backing_off:
            return NotPlaced("no backend server")
        return NotPlaced(
            BACKING_OFF,
            self._decline(backing_off, now),
            self._backoffs.shortest_remaining_s(
                option.candidate.entry.start.key for option in backing_off
            ),
        )

    def _decline(self, backing_off: Sequence[Ranked], now: float) -> list[Declined]:
        declined = []
        for option in backing_off:
            entry = option.candidate.entry
            round_trip_s = self._distances.round_trip_s(entry.failure_domain)
            occupancy = self._estimates.occupancy(entry, now, round_trip_s)
            age_s = self.load_of(entry).report_age_s(now)
            declined.append(Declined(entry, BACKING_OFF, occupancy, age_s))
        return declined

    def _preferred_servers(
        self, ranked: Sequence[Ranked], reachable: Sequence[Ranked], now: float
    ) -> set[Ranked]:
        """Return the candidates that should serve a request if they have capacity."""
        preferred = set(select_preferred(ranked)).intersection(reachable)
        if not preferred:
            return set(select_preferred(reachable))
        replaced = {
            option
            for option in preferred
            if self.load_of(option.candidate.entry).is_failing(now)
            or not self._may_send_by_limit(option.candidate.entry)
        }
        if replaced:
            # Failing servers stay candidates: they are weighed against servers without the object.
            preferred.update(
                select_preferred([option for option in reachable if option not in replaced])
            )
        return preferred

    def _may_send_by_limit(self, entry: ServerEntry) -> bool:
        if not self._limits.has_any:
            return True
        region = self._fleet.region_of(entry.failure_domain)
        return self._limits.may_send(entry.start.key, region)

    def _choose_least_loss(
        self, choices: Sequence[Choice], remaining_s: float, now: float
    ) -> Choice:
        """Return the choice with the least loss whose region has not reached its shift limit.

        The limit applies only if another region has a healthy backend server with capacity: shifts
        that are due to failing or full backend servers may happen at once.
        """
        best = min(choices, key=expected_loss)
        if not self._mix.is_at_limit(best.region, now):
            return best
        alternatives = [
            option
            for option in choices
            if not self._mix.is_at_limit(option.region, now)
            and not is_too_late(option, remaining_s)
            and self.load_of(option.entry).is_healthy(now)
        ]
        return min(alternatives, key=expected_loss, default=best)

    def take_by_limit(self, entry: ServerEntry) -> bool:
        """Count a request that is about to be sent against the limit that the server states.

        Returns:
            Whether the limit allows it.
        """
        return self._limits.take(entry.start.key, self._fleet.region_of(entry.failure_domain))

    def record_send(self, demand: Demand, choice: Choice) -> InFlightRequest:
        """Record that a request is sent; return its record for ``record_end``."""
        entry = choice.entry
        now = trio.current_time()
        self._mix.record(choice.region, now)
        self._key_moves.record(demand, entry.server_id)
        if self._fleet.is_cold(entry.start):
            self._cold.record_sent(entry.start, choice.region, cold_per_s(demand.policy))
        expected_stay_s = choice.expected.wait_s + choice.expected.service_s
        return self.load_of(entry).record_send(now, expected_stay_s)

    def record_end(self, entry: ServerEntry, request: InFlightRequest) -> None:
        """Record that a request has ended, whatever its result."""
        self.load_of(entry).record_end(request, trio.current_time())

    def record_answer(self, demand: Demand, choice: Choice, seen: Observation) -> None:
        """Record an answer; must be called before ``record_end``."""
        now = trio.current_time()
        entry = choice.entry
        load = self.load_of(entry)
        round_trip_s = self._distances.round_trip_s(entry.failure_domain)
        if seen.report is not None:
            self._estimates.record_report(entry, seen.report, now, round_trip_s)
        # Shedding is correct for a full backend server, and a failure of one with free slots.
        is_full = seen.report is not None and seen.report.running >= seen.report.slots
        load.record_answer(now, failed=seen.failed or (seen.shed and not is_full))
        self._fleet.record_cold(entry.start, seen.cold_s)
        if seen.failed or seen.shed:
            return
        service_s = max(0.001, seen.latency_s - round_trip_s)
        expected_s = max(0.001, choice.expected.latency_s - round_trip_s)
        pace = self._pace_while_run(entry, now, service_s, round_trip_s)
        load.record_latency(service_s, expected_s * pace / choice.pace, now)
        self._estimates.warm_of(entry).record(demand.key, now)
        record_service_time(self._estimates, demand, choice, seen, service_s / pace, now)

    def _pace_while_run(
        self, entry: ServerEntry, now: float, service_s: float, round_trip_s: float
    ) -> float:
        """Return the estimated pace of a machine while it ran a request that was just answered.

        The report that came with the answer only tells the pace at the end of the service time.
        """
        ended_at = now - round_trip_s / 2
        return self._estimates.paces.during(
            entry.service, entry.start, ended_at - service_s, ended_at
        )

    def _is_suspect(self, entry: ServerEntry, now: float) -> bool:
        round_trip_s = self._distances.round_trip_s(entry.failure_domain)
        return self.load_of(entry).is_suspect(now, round_trip_s)

    def _is_skipped(self, entry: ServerEntry) -> bool:
        now = trio.current_time()
        return (
            not self._backoffs.may_send(entry.start.key)
            or not self._may_send_by_limit(entry)
            or self._is_suspect(entry, now)
            or self.load_of(entry).is_failing(now)
        )

    def servers_to_probe(self) -> list[ServerEntry]:
        """Return the unreachable backend servers whose backoff has expired."""
        return self._unreachable.expired(trio.current_time())

    async def wait_unreachable(self) -> None:
        """Wait until a backend server may be unreachable."""
        await self._unreachable.wait_any()

    @property
    def unreachable_count(self) -> int:
        """The number of backend servers that this instance could not reach lately."""
        return self._unreachable.count

    def record_unreachable(self, entry: ServerEntry) -> float:
        """Record a backend server as unreachable; return its backoff in seconds."""
        return self._unreachable.record(entry, trio.current_time())

    def record_reachable(self, entry: ServerEntry) -> None:
        """Record that a connection to a backend server opened after its backoff."""
        self.load_of(entry).record_reachable()

    def record_path_change(self) -> None:
        """Record that backend servers are reached by another path than before."""
        now = trio.current_time()
        for entry in self._fleet.entries.values():
            self.load_of(entry).record_path_change(now)

    def record_broken_exchange(self, entry: ServerEntry) -> None:
        """Record an exchange broken off by a fault of the backend server or the connection."""
        self.load_of(entry).record_answer(trio.current_time(), failed=True)

    def remove(self, start: ServerStart) -> None:
        """Remove a backend server that is gone or has restarted."""
        self._estimates.remove(start)
        self._cold.remove(start)
