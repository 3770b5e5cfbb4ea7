"""Sends requests to backend servers, with retries and hedging, and forwards the responses."""

from collections.abc import AsyncIterator, Callable
from functools import partial
from http import HTTPStatus

import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.limits.requested_backoff import RequestedBackoffs
from wagtailpoint.limits.stated_limit import StatedLimits
from wagtailpoint.observe.log import log_event
from wagtailpoint.placement.choice import BACKING_OFF, LIMITED, Choice, NotPlaced
from wagtailpoint.placement.placement import Placement
from wagtailpoint.ports.backend import BodyBroken, FailureReason
from wagtailpoint.proxy.backend_connection import BackendConnection, BackendReply, ExchangeFailed
from wagtailpoint.proxy.backend_pool import BackendPool
from wagtailpoint.proxy.caller_exchange import CallerExchange
from wagtailpoint.proxy.exchange_observer import ExchangeObserver, ignore_exchange
from wagtailpoint.proxy.headers import HeaderNames, header_text, header_value
from wagtailpoint.proxy.hedged_exchange import HedgeDelays, HedgedExchange
from wagtailpoint.proxy.key_check import KeyCheck
from wagtailpoint.proxy.observed_reply import observe_reply
from wagtailpoint.proxy.outgoing_request import make_outgoing_request
from wagtailpoint.proxy.reply_stream import stream_reply
from wagtailpoint.proxy.request_context import CONNECT_FAILURES, Outcome, RequestContext
from wagtailpoint.proxy.request_demand import make_demand
from wagtailpoint.proxy.server_announcements import ServerAnnouncements
from wagtailpoint.proxy.shared_retry_budget import SharedRetryBudget
from wagtailpoint.proxy.stop_admission import StopAdmission
from wagtailpoint.quarantine.quarantine import Quarantine
from wagtailpoint.relay.reachability import Path, Reachability
from wagtailpoint.verdict import Verdict

MAX_CONNECT_FAILURES = 3
"""Maximum number of failed connection attempts for a request that has not been sent yet."""

MIN_EXCHANGE_S = 0.01
"""Nothing is sent with less time left, as the exchange would be cut off with an unknown outcome."""

HEDGE_DELAY_FRACTION = 0.4
"""Fraction of the remaining time after which an idempotent request is hedged to another backend
server if the first has answered no request at all since: it may be dead. The first exchange
continues, since the backend server may also be slow."""

MIN_HEDGE_DELAY_S = 0.15


class Sender:
    """Sends requests to backend servers and records the results."""

    def __init__(
        self,
        *,
        takes_work: Callable[[ServerEntry], bool],
        placement: Placement,
        pool: BackendPool,
        budget: SharedRetryBudget,
        quarantine: Quarantine,
        key_check: KeyCheck,
        limits: StatedLimits,
        backoffs: RequestedBackoffs,
        announcements: ServerAnnouncements,
        reachability: Reachability,
        stop_admission: StopAdmission,
        names: HeaderNames,
    ) -> None:
        """Initialise the sender.

        Args:
            takes_work: Returns whether a backend server may receive new requests.
            placement: Chooses backend servers.
            pool: The connections to backend servers.
            budget: The budget for retries and hedged requests.
            quarantine: Records crashes of backend servers and limits the sends of suspect requests.
            key_check: Checks whether a request may still run.
            limits: Receives the limits that backend servers state.
            backoffs: The backend servers that want no requests for some time.
            announcements: Receives the heads of all responses.
            reachability: Says by which path backend servers can be reached.
            stop_admission: Says which requests a stopping instance still sends.
            names: The deployment's header names.
        """
        self._takes_work = takes_work
        self._placement = placement
        self._pool = pool
        self._budget = budget
        self._quarantine = quarantine
        self._key_check = key_check
        self._limits = limits
        self._backoffs = backoffs
        self._announcements = announcements
        self._reachability = reachability
        self._stop_admission = stop_admission
        self._names = names
        self._hedge_delays = HedgeDelays()
        self._record_exchange: ExchangeObserver = ignore_exchange
        reachability.on_change(self._hedge_if_cut_off)

    def on_exchange_change(self, observer: ExchangeObserver) -> None:
        """Register what is told of the begin and the end of each exchange."""
        self._record_exchange = observer

    def record_request(self, context: RequestContext) -> None:
        """Record the arrival of a caller's request."""
        self._budget.record_request(context.service)
        self._placement.record_request(make_demand(context, self._names.affinity))

    def choose(self, context: RequestContext) -> Choice | NotPlaced:
        """Choose the backend server for the next send."""
        if self._reachability.path is Path.NONE:
            return NotPlaced("unreachable")
        chosen = self._placement.choose(make_demand(context, self._names.affinity))
        if isinstance(chosen, Choice):
            context.last_choice = chosen
        return chosen

    def may_retry(self, context: RequestContext) -> bool:
        """Whether the request may be sent to another backend server after a failure."""
        if context.remaining_s < MIN_EXCHANGE_S or context.body.rest is not None:
            return False
        if context.verdict is not Verdict.NOT_RUN and not context.route.idempotent:
            return False
        if context.send_count == 0:
            return len(context.tried_servers) < MAX_CONNECT_FAILURES
        if not self._quarantine.allows_retry(context.fingerprint):
            return False
        return context.send_count < context.route.max_attempts and self._budget.take(
            context.service
        )

    def _can_send_again(self, context: RequestContext) -> bool:
        """Whether another send is possible, concurrent with or after the current ones."""
        return (
            context.route.idempotent
            and context.send_count < context.route.max_attempts
            and context.body.rest is None
            and self._quarantine.crashes(context.fingerprint) == 0
            and self._budget.available(context.service) >= 1.0
        )

    async def send(
        self, context: RequestContext, choice: Choice, caller: CallerExchange
    ) -> Outcome | None:
        """Send a request, and a hedged one if the backend server is silent.

        Returns:
            The outcome, or None if no send gave a response to forward.
        """
        hedged = HedgedExchange()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_attempt, hedged, context, choice, caller)
            sent_at = trio.current_time()
            if context.route.idempotent:
                await self._hedge_delays.wait(hedged, self._hedge_delay_s(context))
                hedge = self._choose_hedge(hedged, context, choice, sent_at)
                if hedge is not None:
                    nursery.start_soon(self._run_attempt, hedged, context, hedge, caller)
        if hedged.error is not None:
            raise hedged.error
        return hedged.outcome

    def _hedge_if_cut_off(self) -> None:
        if self._reachability.path is Path.RELAYED:
            self._hedge_delays.end_all()

    def _choose_hedge(
        self, hedged: HedgedExchange, context: RequestContext, choice: Choice, sent_at: float
    ) -> Choice | None:
        """Choose a second backend server if the first is silent and budget and room are left."""
        silent = self._placement.load_of(choice.entry).heard_at < sent_at
        if (
            hedged.all_ended.is_set()
            or hedged.answered_by
            or not silent
            or not self._can_send_again(context)
        ):
            return None
        hedge = self.choose(context)
        if isinstance(hedge, NotPlaced):
            return None
        self._budget.take(context.service)
        log_event(
            "sent-beside",
            id=header_text(header_value(context.request.headers, self._names.request_id)),
            silent=choice.entry.server_id,
            beside=hedge.entry.server_id,
            after_ms=round(1000 * (trio.current_time() - sent_at)),
        )
        return hedge

    async def _run_attempt(
        self,
        hedged: HedgedExchange,
        context: RequestContext,
        choice: Choice,
        caller: CallerExchange,
    ) -> None:
        server_id = choice.entry.server_id
        try:
            with hedged.begin(server_id):
                outcome = await self._send_once(hedged, context, choice, caller)
                if outcome is not None:
                    hedged.outcome = outcome
        except Exception as error:  # noqa: BLE001 - raised by send(); a nursery would wrap it
            hedged.error = error
            for running_scope in hedged.scopes.values():
                running_scope.cancel()
        del hedged.scopes[server_id]
        if not hedged.scopes:
            hedged.all_ended.set()

    def _hedge_delay_s(self, context: RequestContext) -> float:
        """Return the time to wait for a response before hedging, in seconds."""
        return max(
            MIN_HEDGE_DELAY_S, HEDGE_DELAY_FRACTION * context.remaining_s, context.route.objective_s
        )

    async def _send_once(
        self,
        hedged: HedgedExchange,
        context: RequestContext,
        choice: Choice,
        caller: CallerExchange,
    ) -> Outcome | None:
        """Send a request once and forward the response; return None if there is none to forward."""
        entry = choice.entry
        demand = make_demand(context, self._names.affinity)
        context.tried_servers.append(entry.server_id)
        context.send_count += 1
        underway = self._placement.record_send(demand, choice)
        self._record_exchange(context, entry, has_begun=True)
        self._quarantine.record_started(context.fingerprint)
        connection: BackendConnection | None = None
        began = trio.current_time()
        try:
            connection = await self._acquire(context, entry)
            context.connect_s += trio.current_time() - began
            context.relay = connection.relay
            if not self._takes_work(entry):
                raise ExchangeFailed(Verdict.NOT_RUN, FailureReason.CONNECT_FAILED, "leaving")
            withheld = self._withhold_reason(context, entry)
            if withheld is not None:
                context.send_count -= 1
                context.record_failure(entry.server_id, Verdict.NOT_RUN, withheld)
                return None
            sent_at = trio.current_time()
            reply = await self._exchange(context, choice, connection)
            context.has_answer = not reply.not_run
            if reply.status != HTTPStatus.MISDIRECTED_REQUEST:
                self._limits.record_answer(
                    entry.start.key, reply.headers, self._names.limit, sent_at
                )
            latency_s = trio.current_time() - began
            report = self._announcements.read_load(entry, reply.headers)
            seen = observe_reply(reply, self._names, latency_s, report)
            if reply.rest is None:
                self._placement.record_answer(demand, choice, seen)
            context.load_report = header_value(reply.headers, self._names.load) or b""
            if not self._is_final(context, entry.server_id, reply) or not hedged.claim(
                entry.server_id
            ):
                context.has_answer = hedged.answered_by is not None
                return None
            if reply.rest is not None:
                outcome = await self._stream(context, entry, reply, reply.rest, caller)
                self._placement.record_answer(demand, choice, seen)
                return outcome
        except ExchangeFailed as error:
            self._record_failure(context, choice, error)
            if error.reason is FailureReason.RESET and connection is not None:
                self._pool.record_reset(entry.start, connection)
                await self._record_crash_if_refused(context, entry)
            return None
        finally:
            self._quarantine.record_ended(context.fingerprint)
            self._placement.record_end(entry, underway)
            self._record_exchange(context, entry, has_begun=False)
            if connection is not None:
                await self._pool.release(entry.start, connection)
        # Sent after the release, so that a reply waiting for earlier replies on the caller's
        # connection holds neither a slot nor a connection.
        await caller.reply(reply.status, reply.headers, reply.body)
        return Outcome(reply.status, "answered", Verdict.RAN)

    async def _stream(
        self,
        context: RequestContext,
        entry: ServerEntry,
        reply: BackendReply,
        rest: AsyncIterator[bytes],
        caller: CallerExchange,
    ) -> Outcome:
        try:
            return await stream_reply(reply, rest, caller, deadline=context.deadline)
        except BodyBroken:
            self._placement.record_broken_exchange(entry)
            raise

    def _withhold_reason(self, context: RequestContext, entry: ServerEntry) -> str | None:
        """Return why a request must not be sent after all; None if it is sent now.

        Since the backend server was chosen, the key may have been revoked, the instance may have
        begun to stop, or the server may have requested a backoff or stated a limit, which other
        requests have used up.
        """
        if not self._stop_admission.admits(context):
            return "stopping"
        if self._key_check.refusal(context) is not None:
            return "withheld"
        if not self._backoffs.take(entry.start.key):
            return BACKING_OFF
        return None if self._placement.take_by_limit(entry) else LIMITED

    async def _acquire(self, context: RequestContext, entry: ServerEntry) -> BackendConnection:
        with trio.move_on_at(context.deadline):
            # A request with home regions must not pass an instance outside of them.
            return await self._pool.acquire(
                entry,
                may_leave_region=context.route.home_regions is None,
                ends_by=context.deadline,
            )
        raise ExchangeFailed(Verdict.NOT_RUN, FailureReason.CONNECT_TIMEOUT, "deadline")

    def _is_final(self, context: RequestContext, server_id: str, reply: BackendReply) -> bool:
        """Whether a response is to be forwarded; if not, record it as a failure."""
        if reply.not_run:
            moved = reply.status == HTTPStatus.MISDIRECTED_REQUEST
            context.record_failure(server_id, Verdict.NOT_RUN, "misdirected" if moved else "shed")
            return False
        failed = reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed and reply.rest is None and self._can_send_again(context):
            context.record_failure(server_id, Verdict.RAN, f"status-{reply.status}")
            context.failed_reply = reply
            return False
        return True

    async def _exchange(
        self, context: RequestContext, choice: Choice, connection: BackendConnection
    ) -> BackendReply:
        sent_at = trio.current_time()
        context.may_have_run_on.add(choice.entry.server_id)
        with trio.move_on_at(context.deadline):
            reply = await connection.exchange(
                make_outgoing_request(context, choice.entry.server_id, self._names),
                on_head=partial(
                    self._announcements.record_head, choice.entry, relay=connection.relay
                ),
            )
            if reply.not_run:
                context.may_have_run_on.discard(choice.entry.server_id)
            return reply
        silent = self._placement.load_of(choice.entry).heard_at < sent_at
        raise ExchangeFailed(Verdict.MAY_HAVE_RUN, FailureReason.TIMEOUT, silent=silent)

    def _record_failure(
        self, context: RequestContext, choice: Choice, error: ExchangeFailed
    ) -> None:
        entry = choice.entry
        rest_s = 0.0
        if error.reason in CONNECT_FAILURES or error.reason is FailureReason.BACKING_OFF:
            context.send_count -= 1
        if error.reason in CONNECT_FAILURES or error.silent:
            rest_s = self._placement.record_unreachable(entry)
        elif error.reason not in (FailureReason.TIMEOUT, FailureReason.BACKING_OFF):
            self._placement.record_broken_exchange(entry)
        context.record_failure(entry.server_id, error.verdict, error.reason)
        log_event(
            "attempt-failed",
            id=header_text(header_value(context.request.headers, self._names.request_id)),
            server=entry.server_id,
            reason=error,
            verdict=error.verdict.value,
            silent=error.silent,
            rests_s=rest_s,
        )

    async def _record_crash_if_refused(self, context: RequestContext, entry: ServerEntry) -> None:
        """Record a crash if the backend server refuses connections after a reset.

        A reset of a single connection has many possible causes. A refused connection shows that the
        backend server itself has ended.
        """
        if not self._takes_work(entry):
            # The backend server is draining, so that its end is no crash.
            return
        failure = await self._pool.open_spare(entry, "crash-check")
        if failure is FailureReason.CONNECT_REFUSED:
            self._placement.record_unreachable(entry)
            self._quarantine.record_crash(context.crash_report(entry.start))
