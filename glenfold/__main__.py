"""Wires the parts of one relay together, and heeds signals."""

import os
import signal
import socket
import sys
from collections.abc import AsyncIterator, Mapping

import trio
from loguru import logger

from glenfold.clock import Clock
from glenfold.config import Config, ConfigError, read_again, read_config
from glenfold.counters import Counters
from glenfold.decisions import Decisions
from glenfold.destinations import BadList, DestinationSet
from glenfold.leaving import ANSWERS_S, Leaving
from glenfold.net.discovery import Discovery
from glenfold.net.inbound import BACKLOG, Inbound, Relay
from glenfold.net.passing import Passage

SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)


async def serve(config: Config) -> None:
    # To the very end: SIGHUP would end a relay that has stopped listening to it.
    with trio.open_signal_receiver(*SIGNALS) as signals:
        await serve_heeding(signals, config)


async def serve_heeding(signals: AsyncIterator[int], config: Config) -> None:
    clock, counters = Clock(), Counters()
    decisions = Decisions(config.settings, config.seed, clock)
    destinations = DestinationSet(config.names)
    relay = Relay(config, clock, decisions, destinations, counters)
    inbound = Inbound(relay)
    if config.known:
        try:
            # Before the first client: a relay that died starts again from the list it last had.
            await decisions.tell(destinations.read(config.known, cached=True))
        except BadList as error:
            logger.warning("known: {}", error)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(decisions.run)
        discovery = Discovery(config.discovery, destinations, decisions.tell, counters)
        nursery.start_soon(discovery.follow)
        with trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM) as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            await listener.bind(config.listen)
            listener.listen(BACKLOG)
            accepting = trio.CancelScope()
            nursery.start_soon(accept, accepting, inbound, listener, nursery)
            logger.info("{} listens on {}:{}", config.name, *config.listen)
            told = trio.Event()
            nursery.start_soon(heed, signals, told, relay, discovery)
            await told.wait()
            leaving = Leaving(trio.current_time(), config.settings)
            await last_arrivals(leaving, inbound)
            accepting.cancel()
        await finish_taken(leaving, relay)
        nursery.cancel_scope.cancel()
    logger.info("counters at exit: {}", counters.line())


async def accept(scope: trio.CancelScope, inbound: Inbound, listener: trio.socket.SocketType,
                 nursery: trio.Nursery) -> None:
    with scope:
        await inbound.serve(listener, nursery)


async def heed(signals: AsyncIterator[int], told_to_stop: trio.Event, relay: Relay,
               discovery: Discovery) -> None:
    async for number in signals:
        if number == signal.SIGHUP:
            reload(os.environ, relay, discovery)
        elif number == signal.SIGUSR1:
            logger.info("counters: {}", relay.counters.line())
        else:
            told_to_stop.set()


def reload(environment: Mapping[str, str], relay: Relay, discovery: Discovery) -> None:
    """A faulty file changes nothing: the relay goes on as it was told before."""
    try:
        config, waiting = read_again(environment, relay.config)
    except ConfigError as error:
        relay.counters.reloads_refused += 1
        logger.error("configuration: {}", error)
        return
    relay.counters.reloads += 1
    relay.config = config
    discovery.move_to(config.discovery)
    logger.info("configuration read again; discovery is at {}:{}", *config.discovery)
    if waiting:
        logger.warning("configuration: needs a restart to change: {}", ", ".join(waiting))


async def last_arrivals(leaving: Leaving, inbound: Inbound) -> None:
    while trio.current_time() < (until := leaving.arrivals_until(inbound.last_arrival)):
        await trio.sleep_until(until)


async def finish_taken(leaving: Leaving, relay: Relay) -> None:
    """Every request taken gets its answer, and every standing connection's client is told to move in time."""
    told: set[Passage] = set()
    async with trio.open_nursery() as nursery:
        nursery.cancel_scope.deadline = leaving.leave_at
        await trio.sleep_until(leaving.moves_from)
        while (left := relay.standing - told) or relay.unanswered:
            gap = ANSWERS_S
            if left:
                told.add(passage := left.pop())
                nursery.start_soon(passage.move)
                gap = leaving.gap_s(trio.current_time(), len(left))
            await trio.sleep_until(trio.current_time() + gap)


def main() -> int:
    """Without words the relay of the platform; all else is the command line's."""
    if len(sys.argv) > 1:
        try:
            from glenfold.cli.main import main as command_line  # the platform's relay loads none of it
        except ModuleNotFoundError as error:
            sys.stderr.write(f"the command line needs the package {error.name}: pip install glenfold\n")
            return 2
        command_line(prog_name="glenfold")
    logger.remove()
    logger.add(sys.stderr, level="INFO", format="{time:HH:mm:ss.SSS} {level} {message}", backtrace=False)
    try:
        config = read_config(os.environ)
    except ConfigError as error:
        logger.error("configuration: {}", error)
        return 2
    trio.run(serve, config)
    return 0


def run() -> None:
    """The console script."""
    sys.exit(main())


if __name__ == "__main__":
    run()
