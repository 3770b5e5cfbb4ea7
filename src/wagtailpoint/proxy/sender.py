"""Sends of one request to backend servers: first, again, beside; and the answer passed on."""

from collections.abc import AsyncIterator, Callable
from http import HTTPStatus

import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.observe.log import log_event
from wagtailpoint.placement.choice import Choice, Demand, NotPlaced, Observation
from wagtailpoint.placement.placement import Placement
from wagtailpoint.placement.server_load import parse_load
from wagtailpoint.ports.backend import FailureReason
from wagtailpoint.proxy.backend_connection import (
    BackendConnection,
    BackendReply,
    ExchangeFailed,
    OutgoingRequest,
)
from wagtailpoint.proxy.backend_pool import BackendPool
from wagtailpoint.proxy.caller_exchange import CallerExchange
from wagtailpoint.proxy.headers import (
    HeaderNames,
    content_length,
    end_to_end,
    first,
    text,
)
from wagtailpoint.proxy.job import UNREACHED, Job, Outcome
from wagtailpoint.proxy.key_check import KeyCheck
from wagtailpoint.proxy.shared_retry_budget import SharedRetryBudget
from wagtailpoint.quarantine.quarantine import Quarantine
from wagtailpoint.routing.workspaces import AUTHORIZATION
from wagtailpoint.verdict import Verdict

MOST_UNREACHED = 3
"""Backend servers that may turn out unreachable for one request; no byte of it left then."""

RETURN_ALLOWANCE_S = 0.003
"""Taken off the deadline that is passed on, so that an answer in the last moment is in time."""

LEAST_EXCHANGE_S = 0.01
"""With less time left nothing is sent: it would only be cut off with an unknown outcome."""

SILENT_PART = 0.4
"""After so much of its remaining time an idempotent request is sent to another backend server too,
if the first has answered nothing at all since: it may be dead. The first is still waited for, as
its silence proves nothing."""

LEAST_SILENT_S = 0.15


class _Race:
    """The sends of one request that are under way; the first usable answer is passed on."""

    def __init__(self) -> None:
        self.outcome: Outcome | None = None
        self.error: Exception | None = None
        self.claimed_by: str | None = None
        self.scopes: dict[str, trio.CancelScope] = {}
        self.settled = trio.Event()

    def claim(self, server_id: str) -> bool:
        """Whether this answer is the first; then the other sends end."""
        if self.claimed_by is not None:
            return False
        self.claimed_by = server_id
        for other, scope in self.scopes.items():
            if other != server_id:
                scope.cancel()
        return True


class Sender:
    """Sends requests, and learns from what becomes of them."""

    def __init__(
        self,
        *,
        takes_work: Callable[[ServerEntry], bool],
        placement: Placement,
        pool: BackendPool,
        budget: SharedRetryBudget,
        quarantine: Quarantine,
        key_check: KeyCheck,
        names: HeaderNames,
    ) -> None:
        """Make it.

        Args:
            takes_work: Whether a backend server may still take new work.
            placement: Chooses backend servers.
            pool: The connections to them.
            budget: Repeated sends.
            quarantine: Learns which requests met crashes, and bounds the sends of these.
            key_check: Whether a request may still run.
            names: The deployment's header names.
        """
        self._takes_work = takes_work
        self._placement = placement
        self._pool = pool
        self._budget = budget
        self._quarantine = quarantine
        self._key_check = key_check
        self._names = names

    def note_request(self, job: Job) -> None:
        """A request of a caller came."""
        self._budget.record_request(job.service)
        self._placement.record_request(self._demand(job))

    def choose(self, job: Job) -> Choice | NotPlaced:
        """Choose the backend server for the next send."""
        chosen = self._placement.choose(self._demand(job))
        if isinstance(chosen, Choice):
            job.last = chosen
        return chosen

    def _demand(self, job: Job) -> Demand:
        key = first(job.request.headers, self._names.affinity) if job.route.sticky else None
        return Demand(
            route=job.route,
            service=job.service,
            policy=job.table.services.get(job.service),
            key=f"{job.route.prefix}{text(key)}" if key else job.request.target,
            tried=job.tried,
            remaining_s=job.left_s,
            objective_remaining_s=job.request.arrived_at
            + job.route.objective_s
            - trio.current_time(),
        )

    def may_go_on(self, job: Job) -> bool:
        """Whether another backend server may be tried after the last send."""
        if job.left_s < LEAST_EXCHANGE_S or job.body.rest is not None:
            return False
        if job.verdict is not Verdict.NOT_RUN and not job.route.idempotent:
            return False
        if job.sends == 0:
            return len(job.tried) < MOST_UNREACHED
        if not self._quarantine.allows_retry(job.fingerprint):
            return False
        return job.sends < job.route.max_attempts and self._budget.take(job.service)

    def _may_repeat(self, job: Job) -> bool:
        """Whether another backend server could be tried beside or after those under way."""
        return (
            job.route.idempotent
            and job.sends < job.route.max_attempts
            and job.body.rest is None
            and self._quarantine.crashes(job.fingerprint) == 0
            and self._budget.left(job.service) >= 1.0
        )

    async def send(self, job: Job, choice: Choice, caller: CallerExchange) -> Outcome | None:
        """Send it, and once more beside if the backend server is silent; None if all failed."""
        race = _Race()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._contend, race, job, choice, caller)
            sent_at = trio.current_time()
            if job.route.idempotent:
                with trio.move_on_after(self._patience_s(job)):
                    await race.settled.wait()
                second = self._second(race, job, choice, sent_at)
                if second is not None:
                    nursery.start_soon(self._contend, race, job, second, caller)
        if race.error is not None:
            raise race.error
        return race.outcome

    def _second(self, race: _Race, job: Job, choice: Choice, sent_at: float) -> Choice | None:
        """Another backend server, if the first is silent and there is budget and room."""
        silent = self._placement.load_of(choice.entry).heard_at < sent_at
        if race.settled.is_set() or race.claimed_by or not silent or not self._may_repeat(job):
            return None
        second = self.choose(job)
        if isinstance(second, NotPlaced):
            return None
        self._budget.take(job.service)
        log_event(
            "sent-beside",
            id=text(first(job.request.headers, self._names.request_id)),
            silent=choice.entry.server_id,
            beside=second.entry.server_id,
            after_ms=round(1000 * (trio.current_time() - sent_at)),
        )
        return second

    async def _contend(self, race: _Race, job: Job, choice: Choice, caller: CallerExchange) -> None:
        server_id = choice.entry.server_id
        try:
            with trio.CancelScope() as scope:
                race.scopes[server_id] = scope
                outcome = await self._attempt(race, job, choice, caller)
                if outcome is not None:
                    race.outcome = outcome
        except Exception as error:  # noqa: BLE001 - a nursery would wrap it; raised by its owner
            race.error = error
            for each in race.scopes.values():
                each.cancel()
        del race.scopes[server_id]
        if not race.scopes:
            race.settled.set()

    def _patience_s(self, job: Job) -> float:
        """How long to wait for a backend server that may be dead."""
        return max(LEAST_SILENT_S, SILENT_PART * job.left_s, job.route.objective_s)

    async def _attempt(
        self, race: _Race, job: Job, choice: Choice, caller: CallerExchange
    ) -> Outcome | None:
        """Send it once and pass the answer on; None if there is none to pass on."""
        entry = choice.entry
        demand = self._demand(job)
        job.tried.append(entry.server_id)
        job.sends += 1
        underway = self._placement.record_send(demand, choice)
        self._quarantine.record_started(job.fingerprint)
        connection: BackendConnection | None = None
        began = trio.current_time()
        try:
            connection = await self._pool.acquire(entry)
            job.connect_s += trio.current_time() - began
            if not self._takes_work(entry):
                raise ExchangeFailed(Verdict.NOT_RUN, FailureReason.CONNECT_FAILED, "leaving")
            if self._key_check.refusal(job) is not None:
                # The key was taken away, or can't be vouched for any more, since the choice.
                job.sends -= 1
                job.fail(entry.server_id, Verdict.NOT_RUN, "withheld")
                return None
            reply = await self._exchange(job, choice, connection)
            self._note(demand, choice, reply, trio.current_time() - began)
            job.load = first(reply.headers, self._names.load) or b""
            if not self._is_final(job, entry.server_id, reply) or not race.claim(entry.server_id):
                return None
            if reply.rest is not None:
                return await self._stream(reply, reply.rest, caller)
        except ExchangeFailed as error:
            self._note_failed(job, choice, error)
            if error.reason is FailureReason.RESET:
                await self._note_if_crashed(job, entry)
            return None
        finally:
            self._quarantine.record_ended(job.fingerprint)
            self._placement.record_end(entry, underway)
            if connection is not None:
                await self._pool.release(entry.start, connection)
        # Only now: a reply that waits for those before it holds neither a slot nor a connection.
        await caller.reply(reply.status, reply.headers, reply.body)
        return Outcome(reply.status, "answered", Verdict.RAN)

    def _is_final(self, job: Job, server_id: str, reply: BackendReply) -> bool:
        """Whether an answer is passed on, and not replaced by another backend server's."""
        if reply.not_run:
            moved = reply.status == HTTPStatus.MISDIRECTED_REQUEST
            job.fail(server_id, Verdict.NOT_RUN, "misdirected" if moved else "shed")
            return False
        failed = reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed and reply.rest is None and self._may_repeat(job):
            job.fail(server_id, Verdict.RAN, f"status-{reply.status}")
            job.failed_reply = reply
            return False
        return True

    async def _exchange(
        self, job: Job, choice: Choice, connection: BackendConnection
    ) -> BackendReply:
        sent_at = trio.current_time()
        with trio.move_on_at(job.deadline):
            return await connection.exchange(self._outgoing(job, choice.entry.server_id))
        silent = self._placement.load_of(choice.entry).heard_at < sent_at
        raise ExchangeFailed(Verdict.MAY_HAVE_RUN, FailureReason.TIMEOUT, silent=silent)

    def _note_failed(self, job: Job, choice: Choice, error: ExchangeFailed) -> None:
        entry = choice.entry
        rest_s = 0.0
        if error.reason in UNREACHED:
            job.sends -= 1
        if error.reason in UNREACHED or error.silent:
            rest_s = self._placement.record_unreachable(entry)
        elif error.reason is not FailureReason.TIMEOUT:
            self._placement.record_broken_exchange(entry)
        job.fail(entry.server_id, error.verdict, error.reason)
        log_event(
            "attempt-failed",
            id=text(first(job.request.headers, self._names.request_id)),
            server=entry.server_id,
            reason=error,
            verdict=error.verdict.value,
            silent=error.silent,
            rests_s=rest_s,
        )

    async def _note_if_crashed(self, job: Job, entry: ServerEntry) -> None:
        """Take note of a crash if the backend server is gone with the connection.

        A connection alone may end for many reasons; where nobody listens any more, all have.
        """
        if not self._takes_work(entry):
            # It was leaving.
            return
        failure = await self._pool.open_spare(entry, "crash-check")
        if failure is FailureReason.CONNECT_REFUSED:
            self._placement.record_unreachable(entry)
            self._quarantine.record_crash(job.crash_report(entry.start))

    def _outgoing(self, job: Job, server_id: str) -> OutgoingRequest:
        names = self._names
        request = job.request
        dropped = [names.deadline_ms, names.expected_server, names.workspace, b"expect"]
        if job.table.workspaces is not None:
            dropped.append(AUTHORIZATION)
        headers = end_to_end(request.headers, dropped)
        left_ms = max(1, int((job.left_s - RETURN_ALLOWANCE_S) * 1000))
        headers.append((names.deadline_ms, str(left_ms).encode()))
        headers.append((names.expected_server, server_id.encode()))
        if job.workspace is not None:
            headers.append((names.workspace, job.workspace.name.encode()))
        return OutgoingRequest(
            request_id=first(request.headers, names.request_id) or b"",
            method=request.method,
            target=request.target,
            headers=headers,
            body=job.body.read,
            rest=job.body.rest,
            rest_bytes=content_length(request.headers),
        )

    def _note(self, demand: Demand, choice: Choice, reply: BackendReply, latency_s: float) -> None:
        cold = first(reply.headers, self._names.cold_ms)
        self._placement.record_answer(
            demand,
            choice,
            Observation(
                latency_s=latency_s,
                reply_bytes=len(reply.body),
                failed=reply.status >= 500 and not reply.not_run,
                shed=reply.not_run,
                report=parse_load(first(reply.headers, self._names.load)),
                cold_s=int(cold) / 1000 if cold is not None and cold.isdigit() else 0.0,
            ),
        )

    async def _stream(
        self, reply: BackendReply, rest: AsyncIterator[bytes], caller: CallerExchange
    ) -> Outcome:
        if reply.length is not None:
            framing = (b"content-length", str(reply.length).encode())
        else:
            framing = (b"transfer-encoding", b"chunked")
        await caller.begin(reply.status, [*reply.headers, framing])
        await caller.send(reply.body)
        async for part in rest:
            await caller.send(part)
        await caller.finish()
        return Outcome(reply.status, "answered", Verdict.RAN)
