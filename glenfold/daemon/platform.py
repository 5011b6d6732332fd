"""The platform's relay: told by LB_CONFIG and by signals."""

import os

import trio

from glenfold import events, logs
from glenfold.config import Config, ConfigError, read_again, read_config
from glenfold.daemon.process import Process, run_by_signals


async def serve(config: Config) -> None:
    await run_by_signals(Process(config, lambda current: read_again(os.environ, current)))


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
