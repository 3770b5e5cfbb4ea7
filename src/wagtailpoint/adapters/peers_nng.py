"""Links between instances on pynng: each instance listens with one pull socket.

A link is a push socket. It is dialled at its first use and closed after an idle time, so that an
instance holds links only to the peers with which it exchanges messages. It is replaced when its
connection ends.
"""

import threading

import pynng
import trio
from pynng import _nng

from wagtailpoint.adapters.peer_dispatch import DispatchingPeers
from wagtailpoint.observe.hlc import HybridClock
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.peers import MAX_MESSAGE_BYTES, PeerAddress

MAX_QUEUED_MESSAGES = 64
LINK_IDLE_TIMEOUT_S = 30.0
MAX_UNANSWERED_REQUESTS = 2
MIN_REDIAL_AGE_S = 2.0
"""Minimum age of a link before unanswered requests close it, in seconds. Opening the link and the
peer's link for the answer takes several round trips; a link closed within them would never open."""

MIN_REOPEN_AGE_S = 0.1
"""Minimum age of a link whose connection has ended before a new one replaces it, in seconds. Limits
the connections to a peer that accepts and closes them."""

RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
NO_RECONNECT_MS = 24 * 60 * 60 * 1000


def limit_threads() -> None:
    """Make nng start 6 threads instead of 30; must precede its first use in a process."""
    library = _nng.lib
    for parameter, number in (
        (library.NNG_INIT_NUM_TASK_THREADS, 2),
        (library.NNG_INIT_MAX_TASK_THREADS, 2),
        (library.NNG_INIT_NUM_EXPIRE_THREADS, 1),
        (library.NNG_INIT_MAX_EXPIRE_THREADS, 1),
        (library.NNG_INIT_NUM_POLLER_THREADS, 1),
        (library.NNG_INIT_MAX_POLLER_THREADS, 1),
        (library.NNG_INIT_NUM_RESOLVER_THREADS, 1),
    ):
        library.nng_init_set_parameter(parameter, number)


class _Link:
    """A push socket to one address that serves one connection.

    When a connection closes while the completion of a send is pending, nng puts it back in the
    socket's list of connections that are ready to send, and then frees it. The next send, or the
    next connection that becomes ready, would use the freed memory. So nothing is sent after the end
    of the first connection, and no second one is dialled or admitted.
    """

    def __init__(self, *, to: PeerAddress, now: float) -> None:
        self._lock = threading.Lock()
        self._is_connected = False
        self._has_ended = False
        self._socket = pynng.Push0(send_buffer_size=MAX_QUEUED_MESSAGES)
        self._socket.reconnect_time_min = RECONNECT_MIN_MS
        self._socket.reconnect_time_max = RECONNECT_MAX_MS
        self._socket.add_pre_pipe_connect_cb(self._admit_first)
        self._socket.add_post_pipe_remove_cb(self._record_end)
        self._socket.dial(f"tcp://{to.address}:{to.port}", block=False)
        self.opened_at = now
        self.used_at = now
        self.unanswered = 0

    @property
    def has_ended(self) -> bool:
        """Whether the connection has ended, so that nothing more is sent."""
        return self._has_ended

    def send(self, data: bytes) -> bool:
        # nng frees a connection after `_record_end` has returned: with the lock not during a send.
        with self._lock:
            if self._has_ended:
                return False
            try:
                self._socket.send(data, block=False)
            except pynng.NNGException:
                return False
            return True

    def close(self) -> None:
        self._socket.close()

    # Threads of nng call these two.

    def _admit_first(self, pipe: pynng.Pipe) -> None:
        if self._is_connected:
            pipe.close()
            return
        self._is_connected = True
        # The socket has no option for this, and `pipe.dialer` may not be set yet.
        dialer = _nng.lib.nng_pipe_dialer(pipe.pipe)
        for option in (b"reconnect-time-max", b"reconnect-time-min"):
            _nng.lib.nng_dialer_set_ms(dialer, option, NO_RECONNECT_MS)

    def _record_end(self, _pipe: pynng.Pipe) -> None:
        with self._lock:
            self._has_ended = True


class NngPeers(DispatchingPeers):
    """Implements ``wagtailpoint.ports.peers.Peers``.

    Args:
        address: The address and incarnation at which this instance receives messages.
        hybrid_clock: Stamps the sent messages.
        clock: Measures the age and idle time of links.
    """

    def __init__(self, *, address: PeerAddress, hybrid_clock: HybridClock, clock: Clock) -> None:
        super().__init__(address=address, clock=hybrid_clock)
        self._monotonic = clock.monotonic
        self._links: dict[tuple[str, int], _Link] = {}

    @property
    def open_links(self) -> int:
        """Number of links that are open or being dialled."""
        return len(self._links)

    async def run(self) -> None:
        """Listen and receive until cancelled.

        Raises:
            pynng.AddressInUse: Another process listens on the address.
        """
        limit_threads()
        with pynng.Pull0(recv_max_size=MAX_MESSAGE_BYTES) as listener:
            listener.listen(f"tcp://{self.address.address}:{self.address.port}")
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._close_unused)
                    while True:
                        self._receive(await listener.arecv())
            finally:
                self._close_all()

    def _transmit(self, to: PeerAddress, data: bytes) -> bool:
        key = (to.address, to.port)
        now = self._monotonic()
        link = self._links.get(key)
        if link is not None and link.has_ended and now - link.opened_at >= MIN_REOPEN_AGE_S:
            link.close()
            link = None
        if link is None:
            limit_threads()
            link = _Link(to=to, now=now)
            self._links[key] = link
        link.used_at = now
        return link.send(data)

    def _record_answer(self, to: PeerAddress) -> None:
        link = self._links.get((to.address, to.port))
        if link is not None:
            link.unanswered = 0

    def _record_timeout(self, to: PeerAddress) -> None:
        # A network cut that drops packets leaves the connection open, and the intervals of its
        # retransmissions grow up to two minutes: after a long cut the link would stay silent for
        # that much longer. A new connection works at once when the cut ends.
        key = (to.address, to.port)
        link = self._links.get(key)
        if link is None or self._monotonic() - link.opened_at < MIN_REDIAL_AGE_S:
            return
        link.unanswered += 1
        if link.unanswered >= MAX_UNANSWERED_REQUESTS:
            link.close()
            del self._links[key]

    async def _close_unused(self) -> None:
        while True:
            await trio.sleep(LINK_IDLE_TIMEOUT_S / 3)
            idle_cutoff = self._monotonic() - LINK_IDLE_TIMEOUT_S
            for key, link in list(self._links.items()):
                if link.used_at < idle_cutoff or link.has_ended:
                    link.close()
                    del self._links[key]

    def _close_all(self) -> None:
        for link in self._links.values():
            link.close()
        self._links.clear()
