"""Each fault of the fault-injecting proxy has its described effect on connections."""

import unittest
from collections.abc import Awaitable, Callable
from contextlib import suppress

import trio
import trio.testing

from tests.common.fault_proxy import Address, FaultProxy, control
from tests.common.sockets import loopback_address


async def echo_upper(stream: trio.SocketStream) -> None:
    with suppress(trio.BrokenResourceError):
        async for chunk in stream:
            await stream.send_all(chunk.upper())


class Rig:
    def __init__(self, *, proxy: FaultProxy, listen: Address) -> None:
        self.proxy = proxy
        self._listen = listen

    async def connect(self) -> trio.SocketStream:
        return await trio.open_tcp_stream(*self._listen)


def run_with_proxy(test: Callable[[Rig], Awaitable[None]]) -> None:
    async def run() -> None:
        host = loopback_address()
        listen, target = Address(host, 9001), Address(host, 9002)
        proxy = FaultProxy(listen=listen, target=target)
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(target.port, host=host)
                await nursery.start(trio.serve_listeners, echo_upper, listeners)
                await nursery.start(proxy.serve)
                await test(Rig(proxy=proxy, listen=listen))
                nursery.cancel_scope.cancel()

    trio.run(run)


async def ask(stream: trio.SocketStream, text: bytes) -> bytes:
    await stream.send_all(text)
    return bytes(await stream.receive_some(100))


class FaultProxyTest(unittest.TestCase):
    def test_pass_and_cut(self) -> None:
        async def test(rig: Rig) -> None:
            stream = await rig.connect()
            self.assertEqual(await ask(stream, b"a"), b"A")
            await rig.proxy.cut()
            with self.assertRaises(trio.BrokenResourceError):
                await stream.receive_some(1)
            with self.assertRaises(OSError):
                await rig.connect()
            await rig.proxy.pass_through()
            self.assertEqual(await ask(await rig.connect(), b"b"), b"B")

        run_with_proxy(test)

    def test_freeze_holds_bytes_and_half_cut_discards_them(self) -> None:
        async def test(rig: Rig) -> None:
            stream = await rig.connect()
            await rig.proxy.freeze()
            await stream.send_all(b"kept")
            with trio.move_on_after(0.1) as scope:
                await stream.receive_some(100)
            self.assertTrue(scope.cancelled_caught)
            await rig.proxy.pass_through()
            self.assertEqual(await stream.receive_some(100), b"KEPT")
            await rig.proxy.half_cut("to-client")
            await stream.send_all(b"lost")
            with trio.move_on_after(0.1) as scope:
                await stream.receive_some(100)
            self.assertTrue(scope.cancelled_caught)
            await rig.proxy.pass_through()
            self.assertEqual(await ask(stream, b"next"), b"NEXT")

        run_with_proxy(test)

    def test_delay_truncate_and_drop(self) -> None:
        async def test(rig: Rig) -> None:
            await rig.proxy.delay(0.05)
            stream, start = await rig.connect(), trio.current_time()
            self.assertEqual(await ask(stream, b"slow"), b"SLOW")
            self.assertGreaterEqual(trio.current_time() - start, 0.1)
            await rig.proxy.truncate(7)
            self.assertEqual(await ask(stream, b"truncated"), b"TRU")
            self.assertEqual(await stream.receive_some(1), b"")
            await rig.proxy.drop_answers(times=1)
            with self.assertRaises(trio.BrokenResourceError):
                await ask(await rig.connect(), b"dropped")
            self.assertEqual(await ask(await rig.connect(), b"passed"), b"PASSED")

        run_with_proxy(test)

    def test_cross_answers(self) -> None:
        async def test(rig: Rig) -> None:
            await rig.proxy.cross_answers()
            first, second = await rig.connect(), await rig.connect()
            await first.send_all(b"first")
            self.assertEqual(await ask(second, b"second"), b"FIRST")
            self.assertEqual(await first.receive_some(100), b"SECOND")

        run_with_proxy(test)

    def test_control_port(self) -> None:
        async def test(rig: Rig) -> None:
            ours, theirs = trio.testing.memory_stream_pair()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(control, [rig.proxy], theirs)
                await ours.send_all(b'{"fault": "cut"}\n')
                self.assertEqual(await ours.receive_some(100), b'{"ok":true}\n')
                await ours.send_all(b'{"fault": "bend"}\n')
                self.assertIn(b'"ok":false', await ours.receive_some(200))
                nursery.cancel_scope.cancel()
            with self.assertRaises(OSError):
                await rig.connect()

        run_with_proxy(test)
