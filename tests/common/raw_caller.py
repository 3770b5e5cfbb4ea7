"""A minimal caller, which sends one copy of a request to a given entry and records the answer.

The caller library would hide the faults under test, as it chooses the entry, retries and corrects
verdicts. With this caller, the test makes these choices.
"""

from collections.abc import Sequence
from typing import NamedTuple

import httpcore
import msgspec
import trio

from wagtailpoint.caller.answer import read_verdict, refusal_code
from wagtailpoint.verdict import Verdict

Place = tuple[str, int]

_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class Heard(NamedTuple):
    """The answer to one copy of a request.

    Attributes:
        path: The path of the request. Tests use a unique path for each request, which identifies
            it in the records of the backend servers.
        status: The HTTP status; 0 if no complete answer arrived.
        verdict: The verdict of the answer, or the one that follows from the broken connection.
        code: The code of the refusal.
        body: The whole body.
        retry_after_s: The delay in seconds after which to retry; None if not given.
    """

    path: str
    status: int
    verdict: Verdict
    code: str | None = None
    body: bytes = b""
    retry_after_s: int | None = None


class RawCaller:
    """Sends single copies of requests and records all answers, for ``verdict_check``."""

    def __init__(self, *, workspace: str = "surakkha") -> None:
        self._workspace = workspace
        self.heard: list[Heard] = []

    async def send(
        self,
        place: Place,
        path: str,
        *,
        method: str = "POST",
        key: str | None = None,
        binding: str | None = None,
        deadline_s: float = 5.0,
    ) -> Heard:
        """Send one copy of a request on a new connection."""
        headers = [
            ("host", f"{place[0]}:{place[1]}"),
            ("wagtailpoint-workspace", self._workspace),
            ("wagtailpoint-deadline-ms", str(int(deadline_s * 1000))),
        ]
        if key is not None:
            headers.append(("idempotency-key", key))
        if binding is not None:
            headers.append(("wagtailpoint-binding", binding))
        body = b"{}" if method == "POST" else b""
        heard = await self._exchange(place, path, method, headers, body, deadline_s)
        self.heard.append(heard)
        return heard

    async def release(
        self, place: Place, key: str, binding: str | None, *, deadline_s: float = 5.0
    ) -> Heard:
        """Send one copy of a keyed deposit release."""
        return await self.send(
            place, f"/releases/{key}", key=key, binding=binding, deadline_s=deadline_s
        )

    async def _exchange(
        self,
        place: Place,
        path: str,
        method: str,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        deadline_s: float,
    ) -> Heard:
        sent = False

        async def trace(event: str, _info: object) -> None:
            nonlocal sent
            sent = sent or event.endswith("send_request_headers.started")

        try:
            with trio.fail_after(deadline_s + 2.0):
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request(
                        method,
                        f"http://{place[0]}:{place[1]}{path}",
                        headers=headers,
                        content=body,
                        extensions={"trace": trace},
                    )
        except (*_ERRORS, trio.TooSlowError):
            return Heard(path, 0, Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN)
        answered = response.headers, response.content
        code = refusal_code(response.status, response.content)
        after = dict(response.headers).get(b"retry-after")
        return Heard(
            path,
            response.status,
            read_verdict(answered[0]),
            code,
            answered[1],
            int(after) if after is not None else None,
        )


async def read_binding(place: Place) -> str:
    """Return the binding that an entry currently gives to callers."""
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("GET", f"http://{place[0]}:{place[1]}/v1/status")
    own = msgspec.json.decode(response.content)["instance"]
    return f"{own['incarnation']}.{own['epoch']}"
