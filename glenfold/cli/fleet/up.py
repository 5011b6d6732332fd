"""`glenfold fleet up FILE`."""

import signal
from collections.abc import AsyncIterator
from pathlib import Path

import click
import trio

from glenfold import logs
from glenfold.cli.fleet.supervisor_client import Failed, InvalidFile, file_argument
from glenfold.daemon.fleet_orders import fleet_of
from glenfold.daemon.supervisor import AlreadyRuns, FileRefused, Supervisor


@click.command("up")
@file_argument
def command(file: Path) -> None:
    """Supervise the instances of FILE: start them, or take over those that run, until `fleet down`.

    SIGTERM and SIGINT end the supervisor alone, and the relays serve on; SIGHUP is `fleet reload`.

    Exit status: 0 the fleet went down or the supervisor was told to end, 1 another supervisor runs or the
    machine refused something, 2 the words or the file are at fault.
    """
    logs.begin(logs.Terms(), "supervisor")
    try:
        trio.run(_supervise, fleet_of(file))
    except* FileRefused as group:
        raise InvalidFile(_joined_messages(group)) from None
    except* (AlreadyRuns, OSError) as group:
        raise Failed(_joined_messages(group)) from None
    finally:
        logs.finish()


def _joined_messages(group: BaseExceptionGroup[BaseException]) -> str:
    leaves: list[str] = []
    for inner in group.exceptions:
        leaves.append(_joined_messages(inner) if isinstance(inner, BaseExceptionGroup) else str(inner))
    return "; ".join(leaves)


async def _supervise(supervisor: Supervisor) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_handle_signals, signals, supervisor, nursery.cancel_scope)
            await supervisor.run()
            nursery.cancel_scope.cancel()


async def _handle_signals(
    signals: AsyncIterator[int], supervisor: Supervisor, scope: trio.CancelScope
) -> None:
    async for number in signals:
        if number == signal.SIGHUP:
            supervisor.reload()
        else:
            scope.cancel()
