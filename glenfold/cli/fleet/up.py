"""`glenfold fleet up FILE`: runs the supervisor of a fleet."""

import signal
from collections.abc import AsyncIterator
from pathlib import Path

import click
import trio

from glenfold import logs
from glenfold.cli.fleet.supervisor_client import Failed, InvalidFile, file_argument
from glenfold.daemon.fleet_file import create_supervisor
from glenfold.daemon.supervisor import AlreadyRuns, FileRefused, Supervisor


@click.command("up")
@file_argument
def command(file: Path) -> None:
    """Supervise the instances of FILE: start them, or adopt those that run, until `fleet down`.

    SIGTERM and SIGINT end only the supervisor, and the relays keep serving; SIGHUP acts as `fleet reload`.

    Exit status: 0 the fleet was stopped or the supervisor was told to end, 1 another supervisor is running or
    the operating system reported an error, 2 the arguments or the file are invalid.
    """
    logs.begin(logs.Options(), "supervisor")
    try:
        trio.run(_supervise, create_supervisor(file))
    except* FileRefused as group:
        raise InvalidFile(_joined_messages(group)) from None
    except* (AlreadyRuns, OSError) as group:
        raise Failed(_joined_messages(group)) from None
    finally:
        logs.finish()


def _joined_messages(group: BaseExceptionGroup[BaseException]) -> str:
    """Returns the messages of all exceptions in a group and its nested groups."""
    messages: list[str] = []
    for inner in group.exceptions:
        messages.append(_joined_messages(inner) if isinstance(inner, BaseExceptionGroup) else str(inner))
    return "; ".join(messages)


async def _supervise(supervisor: Supervisor) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_handle_signals, signals, supervisor, nursery.cancel_scope)
            await supervisor.run()
            nursery.cancel_scope.cancel()


async def _handle_signals(
    signals: AsyncIterator[int], supervisor: Supervisor, scope: trio.CancelScope
) -> None:
    async for signal_number in signals:
        if signal_number == signal.SIGHUP:
            supervisor.reload()
        else:
            scope.cancel()
