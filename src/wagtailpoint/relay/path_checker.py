"""Checks whether backend servers can be reached directly and through other instances."""

from collections.abc import Awaitable, Callable, Iterable, Sequence
from contextlib import suppress
from functools import partial
from random import Random
from typing import Final

import h11
import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.ports.backend import FailureReason, Headers
from wagtailpoint.proxy.backend_connection import ExchangeFailed
from wagtailpoint.proxy.backend_dialer import BackendDialer
from wagtailpoint.relay.client import RelayClient
from wagtailpoint.relay.reachability import MIN_SERVERS, Path, PathCheck, Reachability
from wagtailpoint.response_head import HeadCheck, InvalidHead

CHECK_INTERVAL_S: Final = 0.25
RECHECK_INTERVAL_S: Final = 0.5
"""The intervals between looks at the path while it is direct, and between checks otherwise."""

NEIGHBOUR_CHECK_INTERVAL_S: Final = 1.0
"""The interval between checks while another instance of the same failure domain is isolated: this
one may have lost the same links, and has no requests yet that would show it."""

REFUTED_PAUSE_S: Final = 1.0
"""The pause after a check that found the direct path to work."""

MAX_SILENCE_S: Final = 1.0
"""Requests may be under way for this time without a byte from any backend server before the path is
checked."""

MAX_SERVERS: Final = 8
SERVERS_OF_RETURN: Final = 3
"""The numbers of backend servers that are checked for the verdict that this instance is isolated,
and for its end."""

RESET_DELAY_S: Final = 0.05
"""A connection that opens and is reset within this time has not reached its backend server."""

DIRECT_HEAD_START_S: Final = 0.15
"""The time after which a path without a direct connection is also tried through others: longer than
a round trip to the farthest region."""

ANSWER_TIMEOUT_S: Final = 0.6
READ_BYTES: Final = 1024

Reach = Callable[[], Awaitable[bool]]
"""Tries to reach a backend server; returns whether it did."""


class PathChecker:
    """Checks the path when it is suspect, and until it is direct again."""

    def __init__(
        self,
        *,
        reachability: Reachability,
        entries: Callable[[], Iterable[ServerEntry]],
        health_path: Callable[[str], str],
        silence_s: Callable[[], float],
        has_isolated_neighbour: Callable[[], bool],
        dialer: BackendDialer,
        relays: RelayClient,
        may_ask: Callable[[ServerEntry], bool],
        on_head: Callable[[ServerEntry, int, Headers], None],
        random: Random,
    ) -> None:
        """Initialise the checker.

        Args:
            reachability: Says when the path is suspect, and receives the results.
            entries: Returns the backend servers.
            health_path: Returns the path at which a service's backend servers answer health checks;
                empty if it is not known.
            silence_s: Returns for how many seconds requests have waited without a byte from any
                backend server.
            has_isolated_neighbour: Whether another instance of this failure domain is isolated.
            dialer: Opens direct connections.
            relays: Opens connections through other instances.
            may_ask: Whether a backend server may be sent a health check, and not only connected to.
            on_head: Called with the status and the headers of each answer to a health check.
            random: Chooses backend servers, and the source of jitter.
        """
        self._reachability = reachability
        self._entries = entries
        self._health_path = health_path
        self._silence_s = silence_s
        self._has_isolated_neighbour = has_isolated_neighbour
        self._dialer = dialer
        self._relays = relays
        self._may_ask = may_ask
        self._on_head = on_head
        self._random = random
        self._neighbour_check_at = 0.0

    async def run(self) -> None:
        """Check the path whenever necessary until cancelled."""
        while True:
            path = self._reachability.path
            if path is Path.DIRECT:
                with trio.move_on_after(CHECK_INTERVAL_S * self._random.uniform(0.8, 1.2)):
                    await self._reachability.wait_suspect()
                await self._check_if_doubtful()
            else:
                await trio.sleep(RECHECK_INTERVAL_S * self._random.uniform(0.8, 1.2))
                await (self._check_return() if path is Path.RELAYED else self._check(opening=True))

    async def _check_if_doubtful(self) -> None:
        now = trio.current_time()
        if self._reachability.is_suspect():
            check = await self._check(opening=True)
        elif self._silence_s() >= MAX_SILENCE_S:
            check = await self._check(opening=False)
        elif self._neighbour_check_at <= now and self._has_isolated_neighbour():
            self._neighbour_check_at = now + NEIGHBOUR_CHECK_INTERVAL_S
            check = await self._check(opening=True)
        else:
            return
        if check.direct:
            await trio.sleep(REFUTED_PAUSE_S * self._random.uniform(0.8, 1.2))

    async def _check(self, *, opening: bool) -> PathCheck:
        """Try backend servers directly, and at the same time through other instances.

        Others are only asked if no backend server is reached directly at once, as happens
        whenever nothing is wrong with the path.

        Args:
            opening: Whether a connection that opens is proof enough, as the path is suspect because
                connections do not open; otherwise an answer is needed.
        """
        entries = self._sample()
        attempts = _Attempts(tried=len(entries), relayed=len(entries))
        async with trio.open_nursery() as nursery:
            for entry in entries:
                reach = partial(self._reach, entry, opening=opening)
                nursery.start_soon(attempts.run_direct, reach)
            with trio.move_on_after(DIRECT_HEAD_START_S):
                await attempts.decided.wait()
            if not attempts.decided.is_set():
                for entry in entries:
                    reach = partial(self._reach_through_others, entry, opening=opening)
                    nursery.start_soon(attempts.run_relayed, reach)
            await attempts.decided.wait()
            nursery.cancel_scope.cancel()
        check = attempts.result
        if check.relayed and await self._is_back(entries, opening=opening):
            check = check._replace(direct=1)
        self._reachability.record_check(check)
        return check

    async def _is_back(self, entries: Sequence[ServerEntry], *, opening: bool) -> bool:
        """Return whether a backend server can be reached directly now.

        If the cut ended during a check, direct connections were opened before that, and those
        through others after it. All instances would isolate themselves at once.
        """
        attempts = _Attempts(tried=len(entries), relayed=0)
        with trio.move_on_after(DIRECT_HEAD_START_S):
            async with trio.open_nursery() as nursery:
                for entry in entries:
                    reach = partial(self._reach, entry, opening=opening)
                    nursery.start_soon(attempts.run_direct, reach)
                await attempts.decided.wait()
                nursery.cancel_scope.cancel()
        return attempts.result.direct > 0

    async def _check_return(self) -> None:
        """Check whether the direct path works again, and whether other instances still help."""
        entries = self._sample()
        tried = entries[:SERVERS_OF_RETURN]
        direct = await _count_reached(
            [partial(self._reach, entry, opening=False) for entry in tried]
        )
        check = PathCheck(len(tried), direct, 0)
        self._reachability.record_check(check)
        if direct or self._reachability.path is not Path.RELAYED:
            return
        if not await _count_reached(
            [partial(self._reach_through_others, entry, opening=True) for entry in entries]
        ):
            self._reachability.record_relays_lost(check)

    def _sample(self) -> Sequence[ServerEntry]:
        """Return up to ``MAX_SERVERS`` backend servers, of as many failure domains as possible."""
        by_domain: dict[str, list[ServerEntry]] = {}
        for entry in self._entries():
            if not entry.draining:
                by_domain.setdefault(entry.failure_domain, []).append(entry)
        for found in by_domain.values():
            self._random.shuffle(found)
        domains = list(by_domain.values())
        self._random.shuffle(domains)
        sample = [found.pop() for found in domains]
        while len(sample) < MIN_SERVERS and any(domains):
            sample += [found.pop() for found in domains if found]
        return sample[:MAX_SERVERS]

    async def _reach(self, entry: ServerEntry, *, opening: bool) -> bool:
        try:
            stream = await self._dialer.dial(entry, "path-check")
        except ExchangeFailed:
            return False
        return await self._works(stream, entry, opening=opening)

    async def _reach_through_others(self, entry: ServerEntry, *, opening: bool) -> bool:
        try:
            opened = await self._relays.open(entry)
        except ExchangeFailed as error:
            # The relay reaches a backend server that wants no requests from it.
            return error.reason is FailureReason.BACKING_OFF
        return await self._works(opened.stream, entry, opening=opening)

    async def _works(self, stream: trio.abc.Stream, entry: ServerEntry, *, opening: bool) -> bool:
        """Return whether a connection reaches its backend server; close it."""
        path = self._health_path(entry.service)
        try:
            if opening or not path or not self._may_ask(entry):
                return not await self._ends_within(stream, RESET_DELAY_S)
            with trio.move_on_after(ANSWER_TIMEOUT_S):
                return await self._answers(stream, entry, path)
            return False
        except trio.BrokenResourceError:
            return False
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _answers(self, stream: trio.abc.Stream, entry: ServerEntry, path: str) -> bool:
        """Return whether a backend server answers a health check, with whatever bytes."""
        parser = h11.Connection(h11.CLIENT)
        headers = [("host", str(entry.address)), ("connection", "close")]
        await stream.send_all(
            parser.send(h11.Request(method="GET", target=path, headers=headers)) or b""
        )
        parser.send(h11.EndOfMessage())
        data = await stream.receive_some(READ_BYTES)
        with suppress(h11.RemoteProtocolError, InvalidHead):
            HeadCheck().feed(data)
            parser.receive_data(bytes(data))
            head = parser.next_event()
            if isinstance(head, h11.Response):
                self._on_head(entry, head.status_code, list(head.headers))
        return bool(data)

    async def _ends_within(self, stream: trio.abc.Stream, seconds: float) -> bool:
        with trio.move_on_after(seconds):
            return not await stream.receive_some(READ_BYTES)
        return False


class _Attempts:
    """Attempts to reach backend servers, until they decide by which path they can be reached.

    Args:
        tried: The number of backend servers, each of which is tried directly.
        relayed: The number of them that are also tried through others.
    """

    def __init__(self, *, tried: int, relayed: int) -> None:
        self.decided = trio.Event()
        self._tried = tried
        self._direct = 0
        self._relayed = 0
        self._direct_left = tried
        self._relayed_left = relayed
        self._decide()

    @property
    def result(self) -> PathCheck:
        return PathCheck(self._tried, self._direct, self._relayed)

    async def run_direct(self, reach: Reach) -> None:
        if await reach():
            self._direct += 1
        self._direct_left -= 1
        self._decide()

    async def run_relayed(self, reach: Reach) -> None:
        if await reach():
            self._relayed += 1
        self._relayed_left -= 1
        self._decide()

    def _decide(self) -> None:
        relayed_enough = self._relayed >= min(MIN_SERVERS, self._tried)
        if self._direct or (not self._direct_left and (relayed_enough or not self._relayed_left)):
            self.decided.set()


async def _count_reached(attempts: Sequence[Reach]) -> int:
    """Make attempts at the same time; return how many reached their backend servers."""
    reached = 0

    async def run(reach: Reach) -> None:
        nonlocal reached
        if await reach():
            reached += 1

    async with trio.open_nursery() as nursery:
        for reach in attempts:
            nursery.start_soon(run, reach)
    return reached
