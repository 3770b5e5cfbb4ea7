"""A configuration that has grown large is never in force on instances with a narrow link."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.deployment import Deployment  # noqa: E402
from standins.http import BadMessage, read_answer, request  # noqa: E402
from standins.links import check, opened_by  # noqa: E402
from standins.store import Link, encode  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LINK_MBPS = 5
GROWTHS, ROUTES_EACH, GROWTH_INTERVAL_S = 4, 1200, 5.0
CHANGES, CHANGE_INTERVAL_S = 2, 20.0
CONFIG_APPLY_S = 4.0
DEADLINE_MS = 2000


class Case:
    def __init__(self):
        self.record = (HERE / "record.txt").open("w")
        self.began = time.monotonic()
        self.sent = self.timely = 0
        self.stale = []
        self.links = {}
        self.runs = None
        self.change = (0, 0.0)

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def config(self, deployment, *, extra, change):
        """Return a config with ``extra`` further routes, after a number of changes.

        Each change adds a route, and moves the route of the checks to the other service.
        """
        services = ("desk", "vault")
        routes = [{"Name": "checks", "PathPrefix": "/checks/", "Service": services[change % 2]}]
        routes += [
            {"Name": f"added-{number}", "PathPrefix": f"/added/{number}/"}
            for number in range(1, change + 1)
        ]
        routes += [
            {"Name": f"r-{number:07d}", "PathPrefix": f"/book{number:06d}/"}
            for number in range(extra)
        ]
        return deployment.config(routes, services=services)

    def put(self, deployment, *, extra, change):
        config = self.config(deployment, extra=extra, change=change)
        confirmed_at = deployment.put_config(config)
        self.note(
            f"version {deployment.config_version}, change {change}: confirmed, "
            f"{len(encode(config))} bytes, {extra} further routes"
        )
        return confirmed_at

    def link_of(self, deployment, writer):
        """Return the link of the instance that opened a connection to the store."""
        for instance in deployment.instances:
            if instance.process is not None and opened_by(instance.process.pid, writer):
                return self.links.setdefault(instance.name, Link(mbps=LINK_MBPS))
        return None

    async def ask(self, instance, port, path, attempt):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(instance.address, port), 1.0
            )
            writer.write(
                request(
                    "GET",
                    path + attempt,
                    [
                        ("Host", "desk.example"),
                        ("X-Attempt-Id", attempt),
                        ("X-Deadline-Ms", str(DEADLINE_MS)),
                    ],
                )
            )
            answer = await asyncio.wait_for(read_answer(reader), DEADLINE_MS / 1000)
            writer.close()
        except (OSError, BadMessage, asyncio.TimeoutError):
            return None
        return answer.status if answer is not None else None

    async def client(self, instance, port, until):
        """Ask for the route that was added last, and for the one that was moved."""
        count = 0
        while time.monotonic() < until:
            count += 1
            change, confirmed_at = self.change
            for path in (f"/added/{change}/", "/checks/"):
                attempt = f"{instance.address.replace('.', '')}{count:06x}{path[1]}"
                sent_at = time.monotonic()
                status = await self.ask(instance, port, path, attempt)
                # The next change may come while a request is under way.
                if self.change[0] != change:
                    continue
                self.judge(instance, attempt, path, status, sent_at - confirmed_at)
            await asyncio.sleep(0.2)

    def judge(self, instance, attempt, path, status, after_s):
        self.sent += 1
        change = self.change[0]
        services = [run.service for run in self.runs if run.attempt == attempt]
        wanted = ("desk", "vault")[change % 2]
        is_old = status == 404 or (path == "/checks/" and services and services != [wanted])
        text = (
            f"{attempt} at {instance.name}, {path} {after_s:.2f} s after change {change} was "
            f"confirmed: {status}, run by {services}"
        )
        if is_old and after_s > CONFIG_APPLY_S:
            self.stale.append((instance.name, change))
            text += ": CONFIG, handled as only an older version allows"
        elif not is_old and status == 200:
            self.timely += 1
        self.note(text)

    async def run(self):
        deployment = Deployment(
            limits={"LinkMbps": LINK_MBPS, "MemoryMb": 200, "CpuShare": 0.43},
            bounds={"ConfigApplyS": CONFIG_APPLY_S, "DrainS": 4, "AckS": 6, "CatchUpS": 6},
        )
        self.runs = deployment.runs
        deployment.store.link_of = lambda writer: self.link_of(deployment, writer)
        port = deployment.ports["FrontAddr"]
        try:
            await deployment.store.start()
            for zone in deployment.zones:
                for service in ("desk", "vault"):
                    worker = deployment.add_worker(service, zone, slots=6, queue=18, work_s=0.01)
                    await worker.start()
            self.put(deployment, extra=0, change=0)
            await deployment.start()
            await asyncio.sleep(5.0)
            extra = 0
            for _ in range(GROWTHS):
                extra += ROUTES_EACH if TROUBLE else 0
                self.put(deployment, extra=extra, change=0)
                await asyncio.sleep(GROWTH_INTERVAL_S)
            until = time.monotonic() + CHANGES * CHANGE_INTERVAL_S
            self.change = (1, self.put(deployment, extra=extra, change=1))
            clients = [
                asyncio.create_task(self.client(instance, port, until))
                for instance in deployment.instances
            ]
            for change in range(2, CHANGES + 1):
                await asyncio.sleep(CHANGE_INTERVAL_S)
                self.change = (change, self.put(deployment, extra=extra, change=change))
            await asyncio.gather(*clients)
        finally:
            deployment.end()
            if os.environ.get("KEEP_LOGS"):
                print(deployment.folder)
        return self.report()

    def report(self):
        where = sorted({name for name, _ in self.stale})
        text = (
            f"{self.sent} requests, {self.timely} handled as the newest version says; "
            f"{len(self.stale)} that were sent over {CONFIG_APPLY_S} s after its confirmation "
            f"handled as only an older one allows, at {len(where)} instances"
        )
        self.note(text)
        self.record.close()
        print(text)
        if not self.sent:
            return 2
        return 1 if self.stale else 0


def main():
    try:
        check()
        sys.exit(asyncio.run(Case().run()))
    except (RuntimeError, OSError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)


if __name__ == "__main__":
    main()
