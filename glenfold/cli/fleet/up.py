"""`glenfold fleet up FILE`."""

import signal
from collections.abc import AsyncIterator
from pathlib import Path

import click
import trio

from glenfold import logs
from glenfold.cli.fleet.talk import Failed, Faulty, file_argument
from glenfold.daemon.fleet_file import create_supervisor
from glenfold.daemon.supervisor import AlreadyRuns, FileRefused, Supervisor


@click.command("up")
@file_argument
def command(file: Path) -> None:
    """Supervise the instances of FILE: start them, or take over those that run, until `fleet down`.

    SIGTERM and SIGINT end the supervisor alone, and the relays serve on; SIGHUP is `fleet reload`.

    Exit status: 0 the fleet went down or the supervisor was told to end, 1 another supervisor runs or the
    machine refused something, 2 the words or the file are at fault.
    """
    logs.begin(logs.Options(), "supervisor")
    try:
        trio.run(_supervise, create_supervisor(file))
    except* FileRefused as group:
        raise Faulty(_words(group)) from None
    except* (AlreadyRuns, OSError) as group:
        raise Failed(_words(group)) from None
    finally:
        logs.finish()


def _words(group: BaseExceptionGroup[BaseException]) -> str:
    leaves: list[str] = []
    for inner in group.exceptions:
        leaves.append(_words(inner) if isinstance(inner, BaseExceptionGroup) else str(inner))
    return "; ".join(leaves)


async def _supervise(supervisor: Supervisor) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_heed, signals, supervisor, nursery.cancel_scope)
            await supervisor.run()
            nursery.cancel_scope.cancel()


async def _heed(signals: AsyncIterator[int], supervisor: Supervisor, scope: trio.CancelScope) -> None:
    async for number in signals:
        if number == signal.SIGHUP:
            supervisor.reload()
        else:
            scope.cancel()
