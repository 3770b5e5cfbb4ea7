"""Exchanges with backend servers in processes of their own, which are killed and frozen."""

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


class Rig:
    """A backend server's process and the entry's side of its connections."""

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
        async with self.backends.exchange(self._server, request) as answered:
            if isinstance(answered, Err):
                return answered.err_value
            return b"".join([chunk async for chunk in answered.ok_value.body])

    async def ran(self, request_id: str) -> int:
        """How often a request ran, by the backend server's own record."""
        answer = await self.ask("record", "/standin/record", 10)
        assert isinstance(answer, bytes), answer
        executions: dict[str, int] = msgspec.json.decode(answer)["executions"]
        return executions.get(request_id, 0)

    async def wait_until_ran(self, request_id: str) -> None:
        while await self.ran(request_id) == 0:  # noqa: ASYNC110 - it is in another process
            await trio.sleep(0.02)


def run_with_process(test: Callable[[Rig], Awaitable[None]], service_ms: int) -> None:
    host = loopback_address()
    arguments = ["--address", host, "--port", str(PORT), "--service-ms", str(service_ms)]
    with ModuleProcess(
        module="tests.common.backend_standin", arguments=arguments, address=host, port=PORT
    ) as process:

        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                await test(Rig(process=process, server=BackendAddress(host, PORT)))

        trio.run(run)


class BackendProcessTest(unittest.TestCase):
    def test_killed_while_a_release_runs(self) -> None:
        """A release runs, its backend server is killed, and another starts at its address.

        The reset does not tell whether the release was paid: `may-have-run`. While nobody listens,
        the refused connection tells that nothing ran. The connections of the one that died must
        not spoil the first requests to its successor.
        """

        async def test(rig: Rig) -> None:
            answers: list[object] = []

            async def release() -> None:
                answers.append(await rig.ask("paid", "/release", 30))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(release)
                await rig.wait_until_ran("paid")
                await trio.to_thread.run_sync(rig.process.kill)
            reset = BackendFailure(Verdict.MAY_HAVE_RUN, FailureReason.RESET)
            self.assertEqual(answers, [reset])
            refused = BackendFailure(Verdict.NOT_RUN, FailureReason.CONNECT_REFUSED)
            self.assertEqual(await rig.ask("next", "/release", 5), refused)
            rig.process.start()
            await trio.to_thread.run_sync(rig.process.wait_ready)
            self.assertEqual(await rig.ran("next"), 0)

        run_with_process(test, service_ms=10**9)

    def test_frozen_before_a_release_arrives(self) -> None:
        """A release times out at a frozen backend server, and is paid when that wakes.

        The kernel still accepts connections and bytes for a frozen process, so the request waits
        there. "Not run" at the timeout would have the caller pay it a second time.
        """

        async def test(rig: Rig) -> None:
            rig.process.freeze()
            timeout = BackendFailure(Verdict.MAY_HAVE_RUN, FailureReason.TIMEOUT)
            self.assertEqual(await rig.ask("held", "/bulk/1", 0.3), timeout)
            rig.process.thaw()
            answer = await rig.ask("after", "/release", 20)
            self.assertIsInstance(answer, bytes)
            self.assertIn(b'"after"', answer if isinstance(answer, bytes) else b"")

        run_with_process(test, service_ms=1)
