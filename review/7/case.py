"""An instance whose connections are relayed by others takes the death of a relay for the end of an
answer."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.deployment import Deployment, ZONES  # noqa: E402
from standins.http import BadMessage, read_answer, request, value  # noqa: E402
from standins.links import check, opened_by  # noqa: E402
from standins.worker import seal_of  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 24
KILLS = 8
KILL_INTERVAL_S = 4.0
DOWN_S = 1.0
PARTS, PART_S, PART_BYTES = 4, 0.15, 2048
DEADLINE_MS = 3000
PAUSE_S = 0.1


async def answer_without_length(worker, head, body, attempt, reader, writer):
    """Answer with a body that ends with the connection, in parts."""
    whole = random.Random(attempt).randbytes(PARTS * PART_BYTES)
    head = [
        "HTTP/1.1 200 OK",
        f"X-Attempt-Id: {attempt}",
        f"X-Response-Seal: {seal_of(attempt, whole)}",
        "Connection: close",
    ]
    writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
    for number in range(PARTS):
        writer.write(whole[number * PART_BYTES : (number + 1) * PART_BYTES])
        await writer.drain()
        await asyncio.sleep(PART_S)
    worker.finished.add(attempt)
    return False


class Case:
    def __init__(self):
        self.record = (HERE / "record.txt").open("w")
        self.began = time.monotonic()
        self.sent = self.whole = self.failed = self.cut = 0
        self.wrong = []

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    async def client(self, number, address, port, until):
        count = 0
        reader = writer = None
        while time.monotonic() < until:
            count += 1
            attempt = f"{number:04x}{count:08x}"
            self.sent += 1
            sent_at = time.monotonic() - self.began
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(address, port)
                writer.write(
                    request(
                        "GET",
                        f"/certs/{attempt}",
                        [
                            ("Host", "desk.example"),
                            ("X-Attempt-Id", attempt),
                            ("X-Deadline-Ms", str(DEADLINE_MS)),
                        ],
                    )
                )
                answer = await asyncio.wait_for(read_answer(reader), DEADLINE_MS / 1000 + 1)
            except (OSError, BadMessage, asyncio.TimeoutError) as error:
                answer = None
                self.note(f"client {number} {attempt} sent at {sent_at:.3f}: {error!r}")
            if answer is None or not answer.complete:
                self.cut += 1
                self.note(f"client {number} {attempt} sent at {sent_at:.3f}: no whole answer")
            else:
                self.judge(number, attempt, sent_at, answer)
            if answer is None or not answer.complete or value(answer.headers, "connection"):
                if writer is not None:
                    writer.close()
                reader = writer = None
            await asyncio.sleep(PAUSE_S)
        if writer is not None:
            writer.close()

    def judge(self, number, attempt, sent_at, answer):
        whole = random.Random(attempt).randbytes(PARTS * PART_BYTES)
        seal = value(answer.headers, "x-response-seal")
        length = value(answer.headers, "content-length")
        text = (
            f"client {number} {attempt} sent at {sent_at:.3f}: status {answer.status}, "
            f"length {length}, {len(answer.body)} of {len(whole)} bytes, seal {seal}"
        )
        if answer.status != 200:
            self.failed += 1
        elif answer.body == whole:
            self.whole += 1
        else:
            self.wrong.append(attempt)
            text += " MIXED: a success with a part of the body"
        self.note(text)

    async def run(self):
        deployment = Deployment(instances=list(ZONES))
        cut_off, relays = deployment.instances[0], deployment.instances[1:]
        try:
            await deployment.store.start()
            for zone in ZONES:
                for _ in range(2):
                    worker = deployment.add_worker(
                        "desk", zone, slots=9, queue=20, respond=answer_without_length
                    )
                    worker.finished = set()
                    await worker.start()
            deployment.put_config(
                deployment.config(
                    [{"Name": "certs", "PathPrefix": "/certs/", "TimeoutS": 3, "Attempts": 2}]
                )
            )
            await deployment.start()
            await asyncio.sleep(4.0)
            if TROUBLE:
                pid = cut_off.process.pid
                for worker in deployment.workers:
                    worker.is_cut_from = lambda writer: opened_by(pid, writer)
                    worker.cut()
                self.note(f"cut: {cut_off.name} from the workers")
            until = time.monotonic() + 6.0 + KILLS * KILL_INTERVAL_S
            clients = [
                asyncio.create_task(
                    self.client(number, cut_off.address, deployment.ports["FrontAddr"], until)
                )
                for number in range(CLIENTS)
            ]
            await asyncio.sleep(6.0)
            for number in range(KILLS if TROUBLE else 0):
                relay = relays[number % len(relays)]
                self.note(f"kill: {relay.name}")
                relay.kill()
                await asyncio.sleep(DOWN_S)
                relay.start()
                await asyncio.sleep(KILL_INTERVAL_S - DOWN_S)
            await asyncio.gather(*clients)
        finally:
            deployment.end()
            if os.environ.get("KEEP_LOGS"):
                print(deployment.folder)
        return self.report()

    def report(self):
        text = (
            f"{self.sent} requests: {self.whole} whole answers, {self.failed} failures, "
            f"{self.cut} cut, {len(self.wrong)} successes with a part of the body"
        )
        self.note(text)
        self.record.close()
        print(text)
        if not self.whole:
            return 2
        return 1 if self.wrong else 0


def main():
    try:
        check()
        sys.exit(asyncio.run(Case().run()))
    except (RuntimeError, OSError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)


if __name__ == "__main__":
    main()
