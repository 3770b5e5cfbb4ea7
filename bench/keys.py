"""Measures the store of idempotency keys: bytes per key, and the time to begin a key."""

import time
import tracemalloc
from collections.abc import Callable
from http import HTTPStatus

from wagtailpoint.adapters.clock import SystemClock
from wagtailpoint.admission.refusal import Refusal, RefusalCode
from wagtailpoint.fingerprint import fingerprint
from wagtailpoint.idempotency.binding import new_incarnation
from wagtailpoint.idempotency.keys import KeyStore, RequestKey, Run
from wagtailpoint.idempotency.outcome import Answered, NotRun, Outcome
from wagtailpoint.verdict import Verdict

KEYS_FULL = 100_000
KEYS_SHORT = 5_000
BODY = b'{"release": "accepted", "reference": "0123456789"}'
# Relative to a plain set of digests, the minimum that any store of keys needs.
MAX_BYTES_TO_DIGEST_SET_RATIO = 6.0
MAX_COST_TO_FINGERPRINT_RATIO = 30.0
_US_PER_S = 1e6


def _store() -> KeyStore:
    return KeyStore(
        incarnation=new_incarnation(),
        clock=SystemClock(),
        epoch_s=3600.0,
        max_keys=KEYS_FULL * 2,
        max_answer_bytes=10_000,
        max_kept_bytes=100_000_000,
    )


def _answered(number: int) -> Outcome:
    headers = [(b"content-type", b"application/json"), (b"content-length", b"50")]
    return Answered(201, headers, BODY + str(number).encode())


def _refused(number: int) -> Outcome:
    reason = f"all slots of the service are taken, {number} wait"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    return NotRun(Refusal(status, RefusalCode.NO_SLOT, reason, Verdict.NOT_RUN, 1.0))


def _fill(store: KeyStore, count: int, outcome: Callable[[int], Outcome]) -> None:
    digest = fingerprint(method="POST", host="w", target="/releases", body=BODY)
    for number in range(count):
        key = RequestKey("surakkha", f"release-{number:032}")
        begun = store.begin(key, digest, store.binding)
        assert isinstance(begun, Run)
        store.finish(key, outcome(number))


def _bytes_per_key(count: int, outcome: Callable[[int], Outcome]) -> float:
    tracemalloc.start()
    store = _store()
    _fill(store, count, outcome)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / store.size


def _bytes_per_set_key(count: int) -> float:
    tracemalloc.start()
    digests = {RequestKey("surakkha", str(number)).digest() for number in range(count)}
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / len(digests)


def _time_us(count: int, action: Callable[[], object]) -> float:
    best = float("inf")
    for _ in range(3):
        started_at = time.perf_counter()
        action()
        best = min(best, time.perf_counter() - started_at)
    return best / count * _US_PER_S


def _begin_again(store: KeyStore, count: int) -> None:
    digest = fingerprint(method="POST", host="w", target="/releases", body=BODY)
    binding = store.binding
    for number in range(count):
        store.begin(RequestKey("surakkha", f"release-{number:032}"), digest, binding)


def _compute_fingerprints(count: int) -> None:
    for _ in range(count):
        fingerprint(method="POST", host="w", target="/releases", body=BODY)


def run(short: bool) -> list[str]:
    """Measure the store of idempotency keys.

    Raises:
        AssertionError: A bound is exceeded.
    """
    count = KEYS_SHORT if short else KEYS_FULL
    answered, refused = _bytes_per_key(count, _answered), _bytes_per_key(count, _refused)
    set_bytes = _bytes_per_set_key(count)
    first_us = _time_us(count, lambda: _fill(_store(), count, _answered))
    store = _store()
    _fill(store, count, _answered)
    begin_again_us = _time_us(count, lambda: _begin_again(store, count))
    fingerprint_us = _time_us(count, lambda: _compute_fingerprints(count))
    lines = [
        f"keys {count}",
        f"bytes per answered key        {answered:8.0f}",
        f"bytes per refused key         {refused:8.0f}",
        f"bytes per digest in a set     {set_bytes:8.0f}",
        f"begin and finish a new key    {first_us:8.2f} us",
        f"begin a known key again       {begin_again_us:8.2f} us",
        f"compute a fingerprint         {fingerprint_us:8.2f} us",
    ]
    ratio = refused / set_bytes
    assert (
        ratio <= MAX_BYTES_TO_DIGEST_SET_RATIO
    ), f"bytes of a refused key to those of a digest in a set: ratio {ratio:.1f}"
    ratio = first_us / fingerprint_us
    assert (
        ratio <= MAX_COST_TO_FINGERPRINT_RATIO
    ), f"time to begin a key to that of a fingerprint: ratio {ratio:.1f}"
    return lines
