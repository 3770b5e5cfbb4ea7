"""Hypercorn with default settings: the baseline of the entry's processor time."""

import click
import trio
from hypercorn.config import Config
from hypercorn.trio import serve


@click.command()
@click.option("--address", required=True)
@click.option("--port", type=int, required=True)
@click.option("--body-bytes", type=int, default=1000)
def main(address: str, port: int, body_bytes: int) -> None:
    """Answer every request with the same body until the process is killed."""
    body = b"x" * body_bytes
    headers = [(b"content-length", str(body_bytes).encode())]

    async def app(scope, receive, send) -> None:
        if scope["type"] == "lifespan":
            while True:
                kind = (await receive())["type"]
                await send({"type": f"{kind}.complete"})
                if kind == "lifespan.shutdown":
                    return
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": body, "more_body": False})

    config = Config()
    config.bind = [f"{address}:{port}"]
    config.errorlog = None
    config.keep_alive_max_requests = 1_000_000
    trio.run(serve, app, config)


if __name__ == "__main__":
    main()
