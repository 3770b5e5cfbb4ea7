"""Runs the whole request path as separate processes: `./build.sh demo`.

Starts a platform stand-in, stand-ins for the backend servers and three entry instances, creates
the workspaces with the command-line tool, sends requests through the entries, shows their events
in the timeline and stops one entry gracefully while the others keep serving.
"""

import json
from functools import partial

import trio
from tests.common.deployment_process import RunningDeployment

from wagtailpoint.caller import Answer, Caller

WORKSPACE = "surakkha"
CLIENT = "10.16.0.9"
DEADLINE_S = 5.0


def print_heading(text: str) -> None:
    """Print a heading."""
    print(f"\n== {text}", flush=True)


def show_command(deployment: RunningDeployment, *arguments: str) -> None:
    """Run the command-line tool and print its output; exit if it fails."""
    print(f"$ wagtailpoint {' '.join(arguments)}")
    done = deployment.cli(*arguments)
    print((done.stdout + done.stderr).rstrip())
    if done.returncode != 0:
        raise SystemExit(f"wagtailpoint {arguments[0]} ended with exit code {done.returncode}")


def show_answer(what: str, answer: Answer) -> None:
    """Print the status, verdict, entry and size of one answer."""
    print(
        f"{what}: status={answer.status} verdict={answer.verdict.value} entry={answer.entry} "
        f"bytes={len(answer.body)}"
    )


async def send_requests(caller: Caller) -> None:
    """Send a balance check, the same release twice, and a bulk download."""
    balance = await caller.request("GET", "/deposits/balance/1041", deadline_s=DEADLINE_S)
    show_answer("balance check", balance)
    release = partial(
        caller.request,
        "POST",
        "/releases",
        body=b'{"deposit": 1041}',
        idempotency_key="release-1041",
        deadline_s=DEADLINE_S,
    )
    first, repeat = await release(), await release()
    show_answer("release", first)
    show_answer("the same release again", repeat)
    print(f"both answers are the same: {first.body == repeat.body}")
    size = 0
    async with caller.stream("GET", "/statements/bulk/2000000", deadline_s=DEADLINE_S) as download:
        async for chunk in download.chunks():
            size += len(chunk)
    print(f"bulk download: status={download.status} bytes={size}")


async def run_requests(deployment: RunningDeployment) -> None:
    """Send the requests as a caller of the workspace."""
    async with deployment.caller(WORKSPACE, address=CLIENT) as caller:
        await send_requests(caller)


def main() -> None:
    """Run the demo."""
    print_heading("start: platform stand-in, backend-server stand-ins, three entry instances")
    with RunningDeployment(name="surakkha", entries=3, timings={"lookup_ttl_s": 1.0}) as running:
        for entry in running.entries:
            print(f"entry {entry.settings.address} in {entry.settings.failure_domain}")
        print_heading("the configuration: templates, services and workspaces")
        show_command(running, "apply", str(running.objects_file), "--wait")
        show_command(running, "get", "workspace")
        show_command(running, "status")
        print_heading("a lookup, then requests through the entries that it returned")
        show_command(running, "lookup", "--workspace", WORKSPACE, "--client", CLIENT)
        trio.run(run_requests, running)
        print_heading("the events of all entries in one timeline")
        show_command(running, "timeline")
        print_heading("a graceful stop of one entry; the others keep serving")
        print(f"exit code of the stopped entry: {running.entries[0].stop()}")
        trio.run(run_requests, running)
        show_command(running, "status")
        counts = json.dumps(running.entries[1].page("metrics")["counts"])
        print(f"counts of entry {running.entries[1].settings.address}: {counts}")
    print_heading("done")


if __name__ == "__main__":
    main()
