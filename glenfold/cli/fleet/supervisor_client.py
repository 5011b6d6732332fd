"""Functions that the fleet commands share: they ask a file's supervisor and define the exit statuses."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec
import trio

from glenfold.daemon.ask import NoAnswer, ask
from glenfold.daemon.fleet_file import supervisor_folder
from glenfold.daemon.supervisor import FileRefused, SupervisorPaths

ANSWER_TIMEOUT_S = 10.0  # The supervisor checks the file of a roll before it answers.

file_argument = click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
json_option = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


class Failed(click.ClickException):
    """Raised when the supervisor refused a command, or when a roll was stopped."""

    exit_code = 1


class InvalidFile(click.ClickException):
    """Raised when the operators' file is invalid; nothing was changed."""

    exit_code = 2


class NoSupervisor(click.ClickException):
    """Raised when no supervisor answers."""

    exit_code = 3


def supervisor_location(file: Path) -> SupervisorPaths:
    """Returns where the supervisor of `file` has its socket. Raises InvalidFile."""
    try:
        return SupervisorPaths(supervisor_folder(file))
    except FileRefused as error:
        raise InvalidFile(str(error)) from error


def ask_supervisor(location: SupervisorPaths, word: str, **fields: Any) -> dict[str, Any]:
    """Sends the command `word` with `fields` to the supervisor, and returns its answer.

    Raises NoSupervisor if none answers, and Failed or InvalidFile if the supervisor refuses.
    """

    async def main() -> dict[str, Any]:
        _, answer = await ask(
            location.socket, {"ask": word, **fields}, trio.current_time() + ANSWER_TIMEOUT_S
        )
        return answer

    try:
        answer = trio.run(main)
    except NoAnswer as error:
        raise NoSupervisor(
            f"no supervisor answers ({error}); relays serve on without one, and `glenfold fleet up`"
            " takes them over"
        ) from error
    if refused := answer.get("refused"):
        raise InvalidFile(str(refused)) if answer.get("file") else Failed(str(refused))
    return answer


def print_answer(answer: dict[str, Any], as_json: bool, to_text: Callable[[dict[str, Any]], object]) -> None:
    """Prints the answer as JSON, or as `to_text` phrases it."""
    click.echo(msgspec.json.encode(answer).decode() if as_json else to_text(answer))
