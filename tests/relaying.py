"""Runs a relay in the test process on ephemeral loopback ports, with push servers scripted by the test."""

import json
import os
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager, contextmanager
from inspect import Parameter, Signature, signature
from pathlib import Path
from typing import Any, BinaryIO

import trio

from glenfold.clock import Clock
from glenfold.config import Config, ConfigError, read_config
from glenfold.counters import Counters
from glenfold.daemon.process import Process
from glenfold.decisions import Decisions
from glenfold.destinations import DestinationSet
from glenfold.net.exchange import Relay
from glenfold.net.inbound import Inbound

Handler = Callable[[trio.SocketStream], Awaitable[None]]
SetUp = Callable[[Path], AbstractAsyncContextManager[Any]]
SETTINGS: dict[str, Any] = {
    "classes": [{"name": "watch", "aim_us": 500000, "hard_limit_us": 3000000, "semantics": "repeatable"}],
    "accounts": [{"name": "valleys"}],
    "areas": ["cardiff", "wrexham"],
    "kinds": ["m"],
    "ceilings": {"max_attempts": 2, "retry_after": True, "max_retry_after_us": 700000},
    "extra": {"mode": "pass", "message_aim_us": [250000.0]},
    "period_us": 2000,
}
OPEN = b"OPEN 9b1f03aa 7f3a9c21e0b4d655 c=watch,t=valleys,d=2000,zz=1,g=5c0f\r\n"


def entry(host: str, dial: str = "127.0.0.1:1", **changes: object) -> dict[str, object]:
    return {
        "host": host,
        "dial": dial,
        "site": "wrexham",
        "class": "m",
        "block": 3,
        "health": "in_service",
        "share": 2.0,
        "born_ms": 0,
        **changes,
    }


def whole(*entries: dict[str, object], seq: int = 1) -> dict[str, object]:
    return {"seq": seq, "whole": True, "hosts": list(entries)}


def write_config(folder: Path, **changes: object) -> None:
    document = {"listen": "127.0.0.1:9", "discovery": "127.0.0.1:9", "settings": SETTINGS, "seed": "1f"}
    (folder / "config.json").write_text(json.dumps(document | changes))


def config(folder: Path, environment: dict[str, str] | None = None, **changes: object) -> Config:
    write_config(folder, **changes)
    return read_config({"LB_CONFIG": str(folder / "config.json"), **(environment or {})})


@asynccontextmanager
async def relay(conf: Config, handler: Handler, hosts: int = 1) -> AsyncIterator[tuple[Relay, Inbound, int]]:
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, handler, 0)
        port = listeners[0].socket.getsockname()[1]
        clock, destinations = Clock(), DestinationSet(conf.names)
        shared = Relay(conf, clock, Decisions(conf.settings, conf.seed, clock), destinations, Counters())
        shared.ready.set()
        entries = [entry(f"s-{n}", f"127.0.0.1:{port}") for n in range(hosts)]
        await shared.decisions.submit(destinations.read(whole(*entries), cached=True))
        nursery.start_soon(shared.decisions.run)
        listener = trio.socket.socket()
        await listener.bind(("127.0.0.1", 0))
        listener.listen()
        inbound = Inbound(shared)
        nursery.start_soon(inbound.serve, listener, nursery)
        yield shared, inbound, listener.getsockname()[1]
        nursery.cancel_scope.cancel()
        listener.close()


async def accept_and_echo(stream: trio.SocketStream, following_data: bytes = b"") -> None:
    """A push server that accepts a connection and sends its first line back."""
    await read_line(stream)
    await stream.send_all(b"UP r1\r\n" + following_data)
    await stream.send_all(await read_line(stream))
    await stream.receive_some()


@asynccontextmanager
async def instance(folder: Path) -> AsyncIterator[Process]:
    """Yields a process that is not running; reloading its configuration fails if a file `faulty` exists."""

    def read_again(current: Config) -> tuple[Config, list[str]]:
        if (folder / "faulty").exists():
            raise ConfigError("list.discovery", "is missing")
        return current, ["listeners"]

    yield Process(config(folder, name="a"), read_again)


async def read_line(stream: trio.SocketStream) -> bytes:
    line = b""
    while not line.endswith(b"\n"):
        byte = await stream.receive_some(1)
        if not byte:
            break
        line += byte
    return line


def async_test(
    set_up: SetUp, **run_options: Any
) -> Callable[[Callable[..., Awaitable[None]]], Callable[..., None]]:
    """Turns an async function into a test that runs in trio.

    The function's first argument is what `set_up(tmp_path)` yields; the others are fixtures and parameters as
    usual. `run_options` are passed to trio.run.
    """

    def decorate(script: Callable[..., Awaitable[None]]) -> Callable[..., None]:
        parameters = list(signature(script).parameters.values())[1:]

        def test(**arguments: Any) -> None:
            async def main() -> None:
                async with set_up(arguments["tmp_path"]) as context:
                    await script(
                        context, **{parameter.name: arguments[parameter.name] for parameter in parameters}
                    )

            trio.run(main, **run_options)

        extra_parameters = (
            []
            if "tmp_path" in (parameter.name for parameter in parameters)
            else [Parameter("tmp_path", Parameter.POSITIONAL_OR_KEYWORD)]
        )
        test.__signature__ = Signature([*extra_parameters, *parameters])  # type: ignore[attr-defined]
        return test

    return decorate


@contextmanager
def full_pipe() -> Iterator[tuple[BinaryIO, BinaryIO, int]]:
    """Yields both ends of a pipe that is full, so that the next write blocks, and the bytes in it."""
    descriptors = os.pipe()
    with open(descriptors[0], "rb", 0) as reader, open(descriptors[1], "wb", 0) as writer:
        os.set_blocking(writer.fileno(), False)
        filled_bytes = 0
        while (written_bytes := writer.write(b"#" * 4096)) is not None:
            filled_bytes += written_bytes
        os.set_blocking(writer.fileno(), True)
        yield reader, writer, filled_bytes
