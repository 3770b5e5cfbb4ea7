"""The caller library with scripted entries, over real sockets."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from tests.common.scripted_entry import PORT, Handler, Say, ScriptedEntry, Seen, refuse
from wagtailpoint.caller import Answer, Caller
from wagtailpoint.errors import NoEntryAvailable, RequestUnanswered
from wagtailpoint.verdict import Verdict

LIMIT_S = 30
LOOKUP_TTL_S = 0.05
SUSPECT_RETENTION_S = 2.0
"""For how long a caller prefers other entries to one that did not answer."""

LARGE_BODY = bytes(range(256)) * 64
ETAG = ("ETag", '"v1"')


def answer_with(*script: Say | None) -> Handler:
    """Return a handler that gives the script's answers in turn and then repeats the last."""
    remaining = list(script)

    async def handler(_seen: Seen) -> Say | None:
        return remaining.pop(0) if len(remaining) > 1 else remaining[0]

    return handler


async def hang(_seen: Seen) -> Say | None:
    await trio.sleep_forever()


def bindings(entry: ScriptedEntry) -> list[bytes]:
    return [seen.headers[b"wagtailpoint-binding"] for seen in entry.seen]


OTHER_INCARNATION = refuse("other-incarnation", "may-have-run", status=409)


class TwoEntriesTestCase(unittest.TestCase):
    """Two entries: ``first`` is preferred, ``second`` is in another failure domain."""

    def run_with(
        self, first: Handler, second: Handler, scenario: Callable[[Caller], Awaitable[None]]
    ) -> None:
        self.first = ScriptedEntry(handler=first, domain="a", incarnation="a" * 16)
        self.second = ScriptedEntry(handler=second, domain="b", incarnation="b" * 16)
        self.first.listed = self.second.listed = [self.first, self.second]

        async def main() -> None:
            with trio.fail_after(LIMIT_S):
                async with trio.open_nursery() as nursery:
                    await nursery.start(self.first.serve)
                    await nursery.start(self.second.serve)
                    seeds = [(self.first.address, PORT)]
                    async with Caller(
                        entries=seeds, workspace="w", address="10.0.0.1", seed=1
                    ) as caller:
                        await scenario(caller)
                    nursery.cancel_scope.cancel()

        trio.run(main)


class CallerTest(TwoEntriesTestCase):
    async def release(self, caller: Caller, deadline_s: float = 10.0) -> Answer:
        return await caller.request(
            "POST", "/r", body=b"1", idempotency_key="k", deadline_s=deadline_s
        )

    def test_get_is_retried_in_another_failure_domain(self) -> None:
        async def scenario(caller: Caller) -> None:
            answer = await caller.request("GET", "/x", deadline_s=10.0)
            self.assertEqual((answer.status, answer.verdict), (200, Verdict.RAN))
            self.assertEqual(answer.entry, (self.second.address, PORT))

        self.run_with(answer_with(None), answer_with(Say(200)), scenario)
        self.assertEqual(self.first.lookups, 1)

    def test_get_is_retried_after_a_frozen_entry(self) -> None:
        async def scenario(caller: Caller) -> None:
            answer = await caller.request("GET", "/x", deadline_s=2.0)
            self.assertEqual(answer.entry.address, self.second.address)

        self.run_with(hang, answer_with(Say(200)), scenario)

    def test_post_without_key_is_never_retried(self) -> None:
        async def scenario(caller: Caller) -> None:
            with self.assertRaises(RequestUnanswered) as raised:
                await caller.request("POST", "/x", body=b"1", deadline_s=10.0)
            self.assertEqual(raised.exception.verdict, Verdict.MAY_HAVE_RUN)

        self.run_with(answer_with(None), answer_with(Say(200)), scenario)
        self.assertEqual((len(self.first.seen), len(self.second.seen)), (1, 0))

    def test_key_is_retried_with_its_first_binding_only(self) -> None:
        async def scenario(caller: Caller) -> None:
            self.assertEqual((await self.release(caller)).status, 201)

        self.run_with(answer_with(None, Say(201)), answer_with(OTHER_INCARNATION), scenario)
        self.assertEqual(bindings(self.first), [b"a" * 16 + b".1"] * 2)
        self.assertEqual(bindings(self.second), [b"a" * 16 + b".1"])

    def test_outcome_is_learnt_through_another_entry(self) -> None:
        """Guards against ``may-have-run`` although the bound entry knows the answer.

        The caller's link to the bound entry is cut after the request was sent. Other entries still
        reach the bound one, so the caller has to ask them too.
        """

        async def scenario(caller: Caller) -> None:
            answer = await self.release(caller)
            self.assertEqual((answer.status, answer.verdict), (201, Verdict.RAN))

        self.run_with(answer_with(None), answer_with(Say(201)), scenario)
        self.assertEqual(bindings(self.second), [b"a" * 16 + b".1"])

    def test_key_forbidden_through_another_entry_is_bound_anew(self) -> None:
        async def scenario(caller: Caller) -> None:
            self.assertEqual((await self.release(caller)).status, 201)

        forbidden = refuse("key-refused", status=409)
        self.run_with(answer_with(None), answer_with(forbidden, Say(201)), scenario)
        self.assertEqual(bindings(self.second), [b"a" * 16 + b".1", b"b" * 16 + b".1.1"])

    def test_refusal_by_another_entry_does_not_apply_to_the_first_copy(self) -> None:
        """Guards against a release that is paid twice after a refusal by another entry.

        The first copy was sent to the bound entry, then the link broke. The other entry is too busy
        to ask the bound one and answers ``not-run``, which holds for its own copy only.
        """

        async def scenario(caller: Caller) -> None:
            self.assertEqual((await self.release(caller)).status, 201)

        self.run_with(answer_with(None, None, Say(201)), answer_with(refuse("no-slot")), scenario)
        self.assertEqual(set(bindings(self.second)), {b"a" * 16 + b".1"})

    def test_key_stays_bound_after_the_request_gave_up(self) -> None:
        """Guards against a release that is paid twice by a repeated request.

        The first request times out at a frozen entry and is repeated with the same key. The lookup
        has another first entry by then, but the key must not be bound to it.
        """

        async def scenario(caller: Caller) -> None:
            try:
                answer = await self.release(caller, deadline_s=0.3)
                self.assertEqual(answer.verdict, Verdict.MAY_HAVE_RUN)
            except RequestUnanswered as unanswered:
                self.assertEqual(unanswered.verdict, Verdict.MAY_HAVE_RUN)
            self.first.listed.reverse()
            self.first.handler = answer_with(Say(201))
            self.assertEqual((await self.release(caller)).status, 201)

        self.run_with(hang, answer_with(OTHER_INCARNATION), scenario)
        self.assertEqual(set(bindings(self.first)), {b"a" * 16 + b".1"})
        self.assertEqual(set(bindings(self.second)), {b"a" * 16 + b".1"})

    def test_refused_key_is_bound_to_another_entry_as_a_new_attempt(self) -> None:
        async def scenario(caller: Caller) -> None:
            self.assertEqual((await self.release(caller)).status, 201)

        self.run_with(answer_with(refuse("no-slot")), answer_with(Say(201)), scenario)
        self.assertEqual(bindings(self.second), [b"b" * 16 + b".1.1"])

    def test_outdated_binding_of_the_only_copy_is_renewed(self) -> None:
        """Guards against a needless failure when a cached lookup names an earlier incarnation.

        The entry can't answer `not-run`, as it does not know how many copies were sent. The caller
        knows that this was the only one.
        """

        async def scenario(caller: Caller) -> None:
            self.assertEqual((await self.release(caller)).status, 201)

        self.run_with(answer_with(OTHER_INCARNATION), answer_with(Say(201)), scenario)
        self.assertEqual(len(self.second.seen), 1)

    def test_restarted_entry_after_a_lost_copy(self) -> None:
        """Guards against a release that is paid twice after a restart of its entry.

        The entry runs the release, fails before it answers, and is replaced. The new process
        refuses the binding, which does not mean `not-run`, as another copy was sent before.
        """

        async def scenario(caller: Caller) -> None:
            answer = await self.release(caller)
            self.assertEqual((answer.status, answer.verdict), (409, Verdict.MAY_HAVE_RUN))

        self.run_with(
            answer_with(None, OTHER_INCARNATION), answer_with(OTHER_INCARNATION), scenario
        )
        self.assertEqual(set(bindings(self.second)), {b"a" * 16 + b".1"})

    def test_key_is_bound_to_another_entry_if_nothing_was_sent(self) -> None:
        async def scenario(caller: Caller) -> None:
            self.first.listed.insert(0, ScriptedEntry(handler=hang))
            self.assertEqual((await self.release(caller)).status, 201)

        self.run_with(answer_with(Say(201)), answer_with(Say(201)), scenario)
        self.assertEqual(len(self.first.seen) + len(self.second.seen), 1)

    def test_retry_after_beyond_the_deadline_is_not_awaited(self) -> None:
        async def scenario(caller: Caller) -> None:
            started = trio.current_time()
            answer = await caller.request("GET", "/x", deadline_s=25.0)
            self.assertEqual((answer.code, answer.verdict), ("no-slot", Verdict.NOT_RUN))
            self.assertLess(trio.current_time() - started, 20.0)

        refusal = refuse("no-slot", retry_after=60)
        self.run_with(answer_with(refusal), answer_with(refusal), scenario)

    def test_quarantined_request_is_not_retried(self) -> None:
        """Guards against retries, at other entries, of a request that crashes backend servers."""

        async def scenario(caller: Caller) -> None:
            answer = await caller.request("GET", "/x", deadline_s=10.0)
            self.assertEqual((answer.code, answer.verdict), ("quarantined", Verdict.NOT_RUN))

        self.run_with(
            answer_with(refuse("quarantined", retry_after=60)), answer_with(Say(200)), scenario
        )
        self.assertEqual((len(self.first.seen), len(self.second.seen)), (1, 0))

    def test_crossed_answer_is_dropped(self) -> None:
        """Guards against a workspace that gets another's data from a crossed answer."""

        async def scenario(caller: Caller) -> None:
            answer = await caller.request("GET", "/x", deadline_s=10.0)
            self.assertEqual(answer.body, b"mine")

        crossed = Say(200, body=b"theirs", headers=[("Wagtailpoint-Request-Id", "other")])
        self.run_with(answer_with(crossed), answer_with(Say(200, body=b"mine")), scenario)

    def test_stale_lookup_is_used_while_no_entry_answers_lookups(self) -> None:
        async def scenario(caller: Caller) -> None:
            await caller.request("GET", "/x", deadline_s=10.0)
            self.first.answers_lookups = self.second.answers_lookups = False
            caller._entries.mark_stale()
            self.assertEqual((await caller.request("GET", "/x", deadline_s=10.0)).status, 200)

        self.run_with(answer_with(Say(200)), answer_with(Say(200)), scenario)

    def test_silent_entry_holds_up_few_lookups(self) -> None:
        """Guards against callers that wait for an entry that is down at each of their lookups."""
        requests = 6

        async def scenario(caller: Caller) -> None:
            for entry in (self.first, self.second):
                entry.lookup_ttl_s = LOOKUP_TTL_S
            await caller.request("GET", "/x", deadline_s=10.0)
            self.first.is_silent = True
            began = trio.current_time()
            for _ in range(requests):
                await trio.sleep(2 * LOOKUP_TTL_S)
                answer = await caller.request("GET", "/x", deadline_s=10.0)
                self.assertEqual(answer.entry.address, self.second.address)
            passed_s = trio.current_time() - began
            self.assertLessEqual(self.first.ignored_lookups, 1 + passed_s / SUSPECT_RETENTION_S)

        self.run_with(answer_with(Say(200)), answer_with(Say(200)), scenario)

    def test_no_entry_at_all(self) -> None:
        async def main() -> None:
            async with Caller(
                entries=[("127.0.0.1", 1)], workspace="w", address="10.0.0.1"
            ) as caller:
                with self.assertRaisesRegex(NoEntryAvailable, "127.0.0.1:1 ConnectError"):
                    await caller.request("GET", "/x", deadline_s=5.0)

        trio.run(main)


class LeavingEntryTest(TwoEntriesTestCase):
    """The first entry refuses requests because it stops; both are in one failure domain."""

    def run_scenario(self, scenario: Callable[[Caller], Awaitable[None]]) -> None:
        async def in_one_domain(caller: Caller) -> None:
            self.second.domain = self.first.domain
            await scenario(caller)

        leaving = refuse("leaving", retry_after=1)
        self.run_with(answer_with(leaving), answer_with(Say(201)), in_one_domain)

    def test_refused_request_is_sent_to_another_entry_at_once(self) -> None:
        """Guards against a request that fails because one of several entries stops."""

        async def scenario(caller: Caller) -> None:
            for key in (None, "k"):
                answer = await caller.request(
                    "POST", "/r", body=b"1", idempotency_key=key, deadline_s=0.8
                )
                self.assertEqual((answer.status, answer.verdict), (201, Verdict.RAN), key)

        self.run_scenario(scenario)
        self.assertEqual([seen.target for seen in self.second.seen], ["/r", "/r"])

    def test_later_requests_avoid_the_entry(self) -> None:
        """Guards against refused requests that use up the retry budget while an entry stops."""

        async def scenario(caller: Caller) -> None:
            for _ in range(20):
                answer = await caller.request("POST", "/r", body=b"1", deadline_s=10.0)
                self.assertEqual(answer.status, 201)

        self.run_scenario(scenario)
        self.assertEqual((len(self.first.seen), len(self.second.seen)), (1, 20))
        self.assertEqual((self.first.lookups, self.second.lookups), (1, 1))

    def test_only_entry_is_asked_again_after_the_delay(self) -> None:
        async def scenario(caller: Caller) -> None:
            self.first.listed = [self.first]
            began = trio.current_time()
            answer = await caller.request("POST", "/r", body=b"1", deadline_s=2.0)
            self.assertEqual(answer.code, "leaving")
            self.assertGreaterEqual(trio.current_time() - began, 1.0)

        self.run_scenario(scenario)
        self.assertEqual(len(self.second.seen), 0)


class DownloadTest(TwoEntriesTestCase):
    async def download(self, caller: Caller) -> bytes:
        async with caller.stream("GET", "/certificates", deadline_s=10.0) as download:
            return b"".join([chunk async for chunk in download.chunks()])

    def test_resumed_at_another_entry(self) -> None:
        """Guards against a long download that is lost with its entry."""

        async def rest(seen: Seen) -> Say | None:
            self.assertEqual(seen.headers[b"if-range"], b'"v1"')
            first = int(seen.headers[b"range"].removeprefix(b"bytes=").removesuffix(b"-"))
            span = ("Content-Range", f"bytes {first}-{len(LARGE_BODY) - 1}/{len(LARGE_BODY)}")
            return Say(206, body=LARGE_BODY[first:], headers=[ETAG, span])

        async def scenario(caller: Caller) -> None:
            self.assertEqual(await self.download(caller), LARGE_BODY)

        # Both entries can resume, as the lookup decides which of them is used.
        cut = Say(200, body=LARGE_BODY, headers=[ETAG], cut_after=1000)
        served = [False]

        async def first(seen: Seen) -> Say | None:
            if served[0]:
                return await rest(seen)
            served[0] = True
            return cut

        self.run_with(first, rest, scenario)

    def test_truncated_body_without_validator_raises(self) -> None:
        async def scenario(caller: Caller) -> None:
            with self.assertRaisesRegex(RequestUnanswered, "no strong ETag"):
                await self.download(caller)

        cut = Say(200, body=LARGE_BODY, cut_after=1000)
        self.run_with(answer_with(cut), answer_with(cut), scenario)
