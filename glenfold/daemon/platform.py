"""The platform's relay: told by LB_CONFIG and by signals."""

import os
import signal
from collections.abc import Callable

import trio

from glenfold import events, logs
from glenfold.config import Config, ConfigError, read_again, read_config
from glenfold.daemon.process import Process, heed


async def serve(config: Config) -> None:
    process = Process(config, lambda current: read_again(os.environ, current))
    by_signal: dict[int, Callable[[], None]] = {
        signal.SIGHUP: process.reload,
        signal.SIGUSR1: lambda: events.relay_counters(counters=process.relay.counters.plain()),
        signal.SIGTERM: process.stop,
        signal.SIGINT: process.stop,
    }
    # To the very end: SIGHUP would end a relay that has stopped listening to it.
    with trio.open_signal_receiver(*by_signal) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(heed, signals, by_signal)
            await process.run()
            nursery.cancel_scope.cancel()


def main() -> int:
    logs.begin(logs.Terms())
    try:
        trio.run(serve, read_config(os.environ))
        return 0
    except ConfigError as error:
        events.config_refused(error=error)
        return 2
    finally:
        logs.finish()
