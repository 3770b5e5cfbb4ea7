"""A few instances of each region watch the store and send its changes to the others.

Each answer to a watch is a call that the store limits and charges. If every instance watched, a
change would cost one call for each instance; with a few watchers it costs one for each watcher.
"""

import math
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

import trio
from result import Err

from wagtailpoint.discovery.follower import KindFollower
from wagtailpoint.discovery.freshness import Freshness, PeerProof
from wagtailpoint.discovery.history import KindChanges
from wagtailpoint.discovery.watch_order import WatchOrder, watcher_count
from wagtailpoint.membership import Membership
from wagtailpoint.membership.member import Member
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.peers import PeerAddress, Peers, Received, register_message
from wagtailpoint.rendezvous import rendezvous_score
from wagtailpoint.revision import Revision

SOURCE_COUNT: Final = 2
"""Number of watchers that an instance asks at the same time. A watcher that is cut off from the
store may not notice for up to 3 s; changes must be in force within 2 to 4 s."""

SINGLE_SOURCE_TIMEOUT_S: Final = 1.5
"""How long an instance with a single answering source looks for another one before it watches the
store itself. When a watcher loses the store, the dozens of instances that ask it must not all begin
to watch."""

DECLINED_RETRY_DELAY_S: Final = 5.0
"""Delay before a source that did not answer, or had lost the store, is asked again."""

ASKED_WATCH_TTL_S: Final = 5.0
"""How long an instance that is asked in place of a watcher watches after the last question."""

QUESTION_WAIT_S: Final = 0.8
"""How long a watcher holds a question while there are no changes."""

REPLY_MARGIN_S: Final = 0.4
"""Added to ``QUESTION_WAIT_S`` for the request's time-out; longer than a round trip within a region
and a short stall."""

FELLOW_DELAY_S: Final = 1.0
"""How long a change is withheld from instances that watch the store, too: their own watch normally
tells them before. Longer than ``QUESTION_WAIT_S``, so that a question that was asked before the
change ends without it, and the next one has the version that the asking instance reached."""

LOSS_GRACE_S: Final = 0.5
"""How long a watcher that has lost the store holds questions before it declines them. Most losses
end with the first retry; declined at once, every instance of the region would begin to watch in the
moment in which the store is failing, and would not ask this watcher again for seconds."""

RETRY_DELAY_S: Final = 0.5

WATCHER_START_DELAY_S: Final = 2.0
FALLBACK_START_DELAY_S: Final = 4.0
"""Delays after the start before a watcher begins to watch, and before another instance does that no
watcher has answered. An instance that starts knows no others. When hundreds start at the same time,
all of them would watch until they know each other, and each backend server that registers would
cost one call of each instance."""

EXPIRE_INTERVAL_S: Final = 0.1


class WatchQuestion(NamedTuple):
    """Asks for the changes of all kinds.

    Attributes:
        versions: The kinds, each with the version that the asking instance has.
        lacks_proof: Whether the asking instance can't serve for lack of a proof; it is then sent a
            proof at once, even without changes.
    """

    versions: Sequence[tuple[str, Revision]]
    lacks_proof: bool = False


class WatchAnswer(NamedTuple):
    """Answers with the changes since the versions of a question.

    Attributes:
        watches: Whether the answering instance watches the store and its state is settled.
        changes: The changes, by kind.
        config_proof: Proof of the configuration's state after the changes.
    """

    watches: bool
    changes: Sequence[KindChanges]
    config_proof: PeerProof | None = None


register_message("watch-question-by-revision", WatchQuestion)
register_message("watch-answer-by-revision", WatchAnswer)

NOT_WATCHING: Final = WatchAnswer(False, ())


class _WaitingQuestion(NamedTuple):
    received: Received
    arrived_at: float
    until: float


class WatchSharing:
    """Asks the watchers of the region for changes, and answers questions as one of them.

    Watchers ask each other, too, as a watch may be neither answered nor ended; they are told only
    what their own watches should have told them before.

    If a watcher does not answer or has lost the store, instances ask the next one in the region's
    order, which begins to watch because it is asked. An instance watches the store itself,
    from the version that it has, when no source answers, or only one for some time.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        membership: Membership,
        followers: Mapping[str, KindFollower],
        freshness: Freshness,
    ) -> None:
        """Initialise the sharing, without any source.

        Args:
            peers: The links to the other instances.
            membership: Knows the live instances.
            followers: The followers by kind.
            freshness: The freshness of the configuration, whose proof is sent along.
        """
        self._freshness = freshness
        self._peers = peers
        self._membership = membership
        self._followers = followers
        self._answering = [False] * SOURCE_COUNT
        self._sources: list[PeerAddress | None] = [None] * SOURCE_COUNT
        self._order = WatchOrder(membership=membership)
        self._started_at = math.inf
        self._source_missing_since: float | None = None
        self._asked_until = -math.inf
        self._declined_until: dict[str, float] = {}
        self._waiting: list[_WaitingQuestion] = []
        self._asked = trio.Event()
        peers.handle(WatchQuestion, self._on_question)

    async def run(self) -> None:
        """Ask sources and answer questions until cancelled."""
        # A later run does not begin anew: watchers would stop watching for some seconds.
        self._started_at = min(self._started_at, trio.current_time())
        async with trio.open_nursery() as nursery:
            for number in range(SOURCE_COUNT):
                nursery.start_soon(self._poll_source, number)
            nursery.start_soon(self._expire_questions)

    def answer_waiting(self) -> None:
        """Answer waiting questions; to be called after every change of a followed kind."""
        for waiting in list(self._waiting):
            answer = self._prepare_answer(waiting.received)
            if answer is not None:
                self._send_answer(waiting, answer)

    async def _poll_source(self, number: int) -> None:
        while True:
            source = self._choose_source(number)
            if not self._is_settled or self._is_starting(WATCHER_START_DELAY_S):
                source = None
            self._record_source(number, source)
            answer = NOT_WATCHING if source is None else await self._ask(source)
            self._set_answering(number, answer.watches)
            if not answer.watches:
                await trio.sleep(RETRY_DELAY_S)

    async def _ask(self, source: PeerAddress) -> WatchAnswer:
        """Ask another instance for changes and apply them."""
        versions = [(kind, follower.version) for kind, follower in self._followers.items()]
        asked_at = self._freshness.now()
        question = WatchQuestion(versions, not self._freshness.is_proved)
        answered = await self._peers.request(
            source, question, timeout_s=QUESTION_WAIT_S + REPLY_MARGIN_S
        )
        answer = NOT_WATCHING
        failure = "not-watching"
        if isinstance(answered, Err):
            failure = answered.err_value.value
        elif isinstance(answered.ok_value, WatchAnswer):
            answer = answered.ok_value
        for changes in answer.changes:
            # During an upgrade an instance of another version may follow more kinds.
            follower = self._followers.get(changes.kind)
            if follower is not None:
                follower.apply_changes(changes)
        if answer.config_proof is not None:
            self._freshness.record_peer_proof(answer.config_proof, asked_at)
        if not answer.watches:
            log_event("watch-source-failed", source=source, reason=failure)
            self._declined_until[source.address] = trio.current_time() + DECLINED_RETRY_DELAY_S
        return answer

    def _record_source(self, number: int, source: PeerAddress | None) -> None:
        if source == self._sources[number]:
            return
        self._sources[number] = source
        log_event(
            "watch-source",
            number=number,
            source=source or "",
            settled=self._is_settled,
            watches=self._watches_itself,
        )

    @property
    def _watches_itself(self) -> bool:
        return all(follower.is_watching for follower in self._followers.values())

    @property
    def _is_settled(self) -> bool:
        return all(follower.is_settled for follower in self._followers.values())

    @property
    def _is_briefly_lost(self) -> bool:
        """Whether the store was lost so recently that it is probably reached again soon."""
        followers = self._followers.values()
        if not all(follower.has_state and follower.is_watching for follower in followers):
            return False
        return 0.0 < max(follower.lost_for_s for follower in followers) < LOSS_GRACE_S

    def _set_answering(self, number: int, answering: bool) -> None:
        self._answering[number] = answering
        if all(self._answering):
            self._source_missing_since = None
        elif self._source_missing_since is None:
            self._source_missing_since = trio.current_time()
        self._update_watching()

    def _update_watching(self) -> None:
        """Start or stop watching the store if needed."""
        watching = self._should_watch()
        for kind, follower in self._followers.items():
            if follower.is_watching != watching:
                follower.is_watching = watching
                log_event("watching", kind=kind, itself=watching, version=follower.version)

    def _should_watch(self) -> bool:
        now = trio.current_time()
        if now < self._asked_until:
            # Even just after the start: answers say that this instance watches.
            return True
        if self.is_watcher():
            return not self._is_starting(WATCHER_START_DELAY_S)
        if self._is_starting(FALLBACK_START_DELAY_S) or self._source_missing_since is None:
            return False
        return (
            not any(self._answering) or now - self._source_missing_since >= SINGLE_SOURCE_TIMEOUT_S
        )

    def _is_starting(self, delay_s: float) -> bool:
        return trio.current_time() - self._started_at < delay_s

    def is_watcher(self) -> bool:
        """Return whether this instance is among the watchers of its region."""
        return self._order.is_watcher(self._membership.own.address)

    def _choose_source(self, number: int) -> PeerAddress | None:
        """Return the instance to ask, one for each number; None if there is none."""
        if self.is_watcher() or trio.current_time() < self._asked_until:
            sources = self._choose_fellow_watchers(number)
        else:
            live = self._order.live(self._membership.own.region)
            sources = self._usable(live)[: watcher_count(len(live))]
        # Instances ask different pairs of watchers, so that the questions are spread.
        offset = rendezvous_score("source", self._membership.own.address)
        return sources[(offset + number) % len(sources)].peer_address if sources else None

    def _choose_fellow_watchers(self, number: int) -> Sequence[Member]:
        """Return the watchers that an instance asks on which others rely.

        Its own watch may never be answered, and so may those of its whole region, which began for
        the same reason at the same time. The first source is in its region, the second in another.
        """
        regions = self._order.regions
        for region in regions if number == 0 else [*regions[1:], regions[0]]:
            sources = self._usable(self._order.watchers(region))
            if sources:
                return sources
        return ()

    def _usable(self, members: Sequence[Member]) -> Sequence[Member]:
        """Return the members other than this one that have not failed to answer lately."""
        now = trio.current_time()
        own = self._membership.own.address
        return [
            member
            for member in members
            if member.address != own and self._declined_until.get(member.address, 0.0) <= now
        ]

    def _on_question(self, received: Received) -> WatchAnswer | None:
        for kind, version in received.message.versions:
            if kind in self._followers:
                self._followers[kind].record_era(version)
        self._asked_until = trio.current_time() + ASKED_WATCH_TTL_S
        self._update_watching()
        arrived_at = self._freshness.now()
        answer = self._prepare_answer(received)
        if answer is None and received.message.lacks_proof and self._freshness.is_proved:
            answer = WatchAnswer(True, ())
        if answer is None:
            until = trio.current_time() + QUESTION_WAIT_S
            self._waiting.append(_WaitingQuestion(received, arrived_at, until))
            self._asked.set()
            return None
        return self._with_proof(answer, arrived_at)

    def _prepare_answer(self, received: Received) -> WatchAnswer | None:
        """Prepare the answer to a question; None if there are no changes yet."""
        if not self._is_settled:
            return None if self._is_briefly_lost else NOT_WATCHING
        question: WatchQuestion = received.message
        # An instance without a proof of its state can't serve, perhaps for lack of this change.
        is_urgent = question.lacks_proof or not self._order.is_watcher(received.sender.address)
        known_for_s = 0.0 if is_urgent else FELLOW_DELAY_S
        all_changes = [
            changes
            for kind, version in question.versions
            if kind in self._followers
            and (changes := self._followers[kind].changes_since(version, known_for_s=known_for_s))
            is not None
        ]
        return WatchAnswer(True, all_changes) if all_changes else None

    async def _expire_questions(self) -> None:
        """Answer questions after their waiting time, or when this instance is not settled."""
        while True:
            if not self._waiting:
                self._asked = trio.Event()
                await self._asked.wait()
            await trio.sleep(EXPIRE_INTERVAL_S)
            now = trio.current_time()
            for waiting in list(self._waiting):
                answer = self._prepare_answer(waiting.received)
                if answer is None and now >= waiting.until:
                    answer = WatchAnswer(True, ())
                if answer is not None:
                    self._send_answer(waiting, answer)

    def _send_answer(self, waiting: _WaitingQuestion, answer: WatchAnswer) -> None:
        self._waiting.remove(waiting)
        self._peers.reply(waiting.received, self._with_proof(answer, waiting.arrived_at))

    def _with_proof(self, answer: WatchAnswer, arrived_at: float) -> WatchAnswer:
        return answer._replace(config_proof=self._freshness.proof_for_peer(arrived_at))
