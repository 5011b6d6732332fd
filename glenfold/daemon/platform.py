"""The platform's relay: told by LB_CONFIG and by signals."""

import os
import signal
import sys
from collections.abc import Callable

import trio
from loguru import logger

from glenfold.config import Config, ConfigError, read_again, read_config
from glenfold.daemon.process import Process, heed


async def serve(config: Config) -> None:
    process = Process(config, lambda current: read_again(os.environ, current))
    by_signal: dict[int, Callable[[], None]] = {
        signal.SIGHUP: process.reload,
        signal.SIGUSR1: lambda: logger.info("counters: {}", process.relay.counters.line()),
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
    logger.remove()
    logger.add(sys.stderr, level="INFO", format="{time:HH:mm:ss.SSS} {level} {message}", backtrace=False)
    try:
        config = read_config(os.environ)
    except ConfigError as error:
        logger.error("configuration: {}", error)
        return 2
    trio.run(serve, config)
    return 0
