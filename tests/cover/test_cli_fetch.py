"""How the command-line tool reads a JSON document from an entry."""

import unittest
from typing import Any

import trio
from result import Result

from tests.common.platform_process import fresh_address
from wagtailpoint.cli.failures import EntryUnreachable
from wagtailpoint.cli.profile import EntryAddress
from wagtailpoint.cli.session import fetch_json

LIMIT_S = 30
PORT = 8080


class FetchJsonTest(unittest.TestCase):
    def fetch(self, answer: bytes) -> Result[Any, EntryUnreachable]:
        """Fetch from a server that sends one answer and closes the connection."""
        address = fresh_address()

        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(answer)
            await stream.aclose()

        async def run() -> Result[Any, EntryUnreachable]:
            with trio.fail_after(LIMIT_S):
                listeners = await trio.open_tcp_listeners(PORT, host=address)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(trio.serve_listeners, serve, listeners)
                    outcome = await fetch_json(EntryAddress(address, PORT), "/v1/status")
                    nursery.cancel_scope.cancel()
            return outcome

        return trio.run(run)

    def test_answers(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"
        self.assertEqual(self.fetch(head + b'{"a":1}').unwrap(), {"a": 1})
        self.assertIn("no JSON", self.fetch(head + b"<html/>").unwrap_err().reason)
        empty = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n\r\nempty"
        self.assertIn("answered 503 empty", self.fetch(empty).unwrap_err().reason)
        self.assertIn("RemoteProtocolError", self.fetch(b"").unwrap_err().reason)

    def test_no_server_listens(self) -> None:
        entry = EntryAddress("127.0.0.1", 1)
        self.assertIn("127.0.0.1:1", trio.run(fetch_json, entry, "/").unwrap_err().reason)
