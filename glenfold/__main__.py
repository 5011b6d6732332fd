"""The platform's relay, which has no words; with words, the command line."""

import os
import signal
import sys
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
    """Without words the relay of the platform; all else is the command line's."""
    if len(sys.argv) > 1:
        try:
            from glenfold.cli.main import main as command_line  # the platform's relay loads none of it
        except ModuleNotFoundError as error:
            sys.stderr.write(f"the command line needs the package {error.name}: pip install glenfold\n")
            return 2
        command_line(prog_name="glenfold")
    logs.begin(logs.Terms())
    try:
        trio.run(serve, read_config(os.environ))
        return 0
    except ConfigError as error:
        events.config_refused(error=error)
        return 2
    finally:
        logs.finish()


def run() -> None:
    """The console script."""
    sys.exit(main())


if __name__ == "__main__":
    run()
