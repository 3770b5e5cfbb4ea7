"""Exchanges with backend servers in separate processes, which are killed and frozen."""

import unittest
from collections.abc import Awaitable, Callable

import msgspec
import trio
from result import Err

from tests.common.processes import ModuleProcess
from tests.common.sockets import loopback_address
from wagtailpoint import Verdict
from wagtailpoint.adapters.backend_http import HttpBackends
from wagtailpoint.ports.backend import BackendAddress, BackendFailure, BackendRequest, FailureReason

PORT = 9100
LIMIT_S = 60


class BackendFixture:
    """A backend server's process and an adapter that sends requests to it."""

    def __init__(self, *, process: ModuleProcess, server: BackendAddress) -> None:
        self.process = process
        self.backends = HttpBackends()
        self._server = server

    async def ask(self, request_id: str, target: str, deadline_s: float) -> bytes | BackendFailure:
        request = BackendRequest(
            request_id=request_id,
            method="POST",
            target=target,
            headers=[(b"Idempotency-Key", request_id.encode())],
            body=None,
            deadline_s=deadline_s,
            idempotent=False,
            echoes_request_id=True,
        )
        async with self.backends.exchange(self._server, request) as outcome:
            if isinstance(outcome, Err):
                return outcome.err_value
            return b"".join([chunk async for chunk in outcome.ok_value.body])

    async def execution_count(self, request_id: str) -> int:
        """Return how often a request ran, by the backend server's record."""
        answer = await self.ask("record", "/standin/record", 10)
        assert isinstance(answer, bytes), answer
        executions: dict[str, int] = msgspec.json.decode(answer)["executions"]
        return executions.get(request_id, 0)

    async def wait_until_ran(self, request_id: str) -> None:
        while await self.execution_count(request_id) == 0:  # noqa: ASYNC110 - other process
            await trio.sleep(0.02)


def run_with_process(test: Callable[[BackendFixture], Awaitable[None]], service_ms: int) -> None:
    host = loopback_address()
    arguments = ["--address", host, "--port", str(PORT), "--service-ms", str(service_ms)]
    with ModuleProcess(
        module="tests.common.backend_standin", arguments=arguments, address=host, port=PORT
    ) as process:

        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                await test(BackendFixture(process=process, server=BackendAddress(host, PORT)))

        trio.run(run)


class BackendProcessTest(unittest.TestCase):
    def test_killed_while_a_release_runs(self) -> None:
        """Guards against wrong verdicts when a backend server is killed and replaced.

        The server is killed while a release runs: the reset does not show whether it was paid, so
        the verdict is `may-have-run`. While no process listens, the refused connection proves that
        nothing ran. Connections to the killed process must not fail requests to its replacement.
        """

        async def test(fixture: BackendFixture) -> None:
            answers: list[object] = []

            async def release() -> None:
                answers.append(await fixture.ask("paid", "/release", 30))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(release)
                await fixture.wait_until_ran("paid")
                await trio.to_thread.run_sync(fixture.process.kill)
            reset = BackendFailure(Verdict.MAY_HAVE_RUN, FailureReason.RESET)
            self.assertEqual(answers, [reset])
            refused = BackendFailure(Verdict.NOT_RUN, FailureReason.CONNECT_REFUSED)
            self.assertEqual(await fixture.ask("next", "/release", 5), refused)
            fixture.process.start()
            await trio.to_thread.run_sync(fixture.process.wait_ready)
            self.assertEqual(await fixture.execution_count("next"), 0)

        run_with_process(test, service_ms=10**9)

    def test_frozen_before_a_release_arrives(self) -> None:
        """Guards against a release that is paid twice after a timeout at a frozen backend server.

        The kernel accepts connections and bytes for a frozen process, so the request waits there
        and runs when the process resumes. After a `not-run` the caller would pay it again.
        """

        async def test(fixture: BackendFixture) -> None:
            fixture.process.freeze()
            timeout = BackendFailure(Verdict.MAY_HAVE_RUN, FailureReason.TIMEOUT)
            self.assertEqual(await fixture.ask("held", "/bulk/1", 0.3), timeout)
            fixture.process.thaw()
            answer = await fixture.ask("after", "/release", 20)
            self.assertIsInstance(answer, bytes)
            self.assertIn(b'"after"', answer if isinstance(answer, bytes) else b"")

        run_with_process(test, service_ms=1)
