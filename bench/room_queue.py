"""Cost of the order of requests that wait for room, with a full queue.

PYTHONPATH=src:. .venv/bin/python -m bench.room_queue
"""

from random import Random
from time import perf_counter

from wagtailpoint.admission.room_queue import Found, NotFound, RoomQueue, Turn, Waiting

WAITING = 200
SERVERS = 78
ROUNDS = 2000


def make_queue(random: Random) -> RoomQueue[None]:
    """Return a queue with requests of 87 workspaces, each for three of the servers."""
    queue: RoomQueue[None] = RoomQueue()
    for _ in range(WAITING):
        turn = Turn(
            "desk", random.randrange(3), f"w-{random.randrange(87)}", random.uniform(1, 4), 0
        )
        servers = frozenset(f"i-{number}" for number in random.sample(range(SERVERS), 3))
        queue.enter(turn, None, servers, 0.0)
    for _ in range(1000):
        queue.record_admission("desk", f"w-{random.randrange(87)}", 0.0)
    return queue


def main() -> None:
    """Print the cost of each operation in microseconds, without that of the selection itself."""
    random = Random(3)
    queue = make_queue(random)
    turn = Turn("desk", 1, "w-1", 2.0, 0)

    def no_room(waiting: Waiting[None]) -> Found | NotFound:
        return NotFound(waiting.servers)

    def arrive_and_leave() -> None:
        entered = queue.enter(turn, None, frozenset(("i-1",)), 0.1)
        if entered.waiting is not None:
            queue.leave(entered.waiting)

    operations = {
        "end of an exchange": lambda: queue.offer("desk", no_room, 0.1, "i-1"),
        "timer": lambda: queue.offer("desk", no_room, 0.1),
        "may a new request take the room": lambda: queue.has_before(turn, "i-1", 0.1),
        "arrival and leave": arrive_and_leave,
        "place of a refused request": lambda: queue.count_before(turn, 0.1),
    }
    for name, operation in operations.items():
        began = perf_counter()
        for _ in range(ROUNDS):
            operation()
        print(f"{name}: {1e6 * (perf_counter() - began) / ROUNDS:.1f} µs")


if __name__ == "__main__":
    main()
