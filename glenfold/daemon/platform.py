"""The relay as the platform runs it: configured by LB_CONFIG and LB_LOG_LEVELS, controlled by signals."""

import os
from collections.abc import Mapping

import trio

from glenfold import events, logs
from glenfold.config import Config, ConfigError, read_again, read_config
from glenfold.daemon.process import Process, run_by_signals


async def serve(config: Config) -> None:
    """Runs one relay until a signal stops it and it has finished."""
    await run_by_signals(Process(config, lambda current: read_again(os.environ, current)))


def log_levels(environment: Mapping[str, str]) -> dict[str, str]:
    """Returns the log levels in LB_LOG_LEVELS: `name=level`, separated by commas. Raises ConfigError."""
    pairs = [pair for pair in environment.get("LB_LOG_LEVELS", "").split(",") if pair]
    levels = {name.strip(): level.strip() for name, _, level in (pair.partition("=") for pair in pairs)}
    try:
        logs.Options(levels=levels)
    except ValueError as error:
        raise ConfigError("LB_LOG_LEVELS", str(error)) from error
    for name in levels:
        if not any(f"{event}.".startswith(f"{name}.") for event in logs.EVENTS):
            raise ConfigError("LB_LOG_LEVELS", f"{name} is no event and no group of events")
    return levels


def main() -> int:
    """Runs the relay and returns its exit status: 0 when finished, 2 when the configuration is refused."""
    logs.begin(logs.Options())
    try:
        if levels := log_levels(os.environ):
            logs.set_options(logs.Options(levels=levels))
        config = read_config(os.environ)
        for key, problem in config.problems:
            events.config_default(key=key, fault=problem)
        trio.run(serve, config)
        return 0
    except ConfigError as error:
        events.config_refused(error=error)
        return 2
    finally:
        logs.finish()
