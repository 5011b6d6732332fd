"""What the commands share: asking the supervisor of a file, and their exit statuses."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec
import trio

from glenfold.daemon.ask import NoAnswer, ask
from glenfold.daemon.fleet_orders import folder_of
from glenfold.daemon.supervisor import FileRefused, Place

ANSWER_TIMEOUT_S = 10.0  # a roll's file is checked meanwhile

file_argument = click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
json_option = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


class Failed(click.ClickException):
    """Refused, or it did not come to the end that was asked for."""

    exit_code = 1


class InvalidFile(click.ClickException):
    """The file is; nothing was changed."""

    exit_code = 2


class NoSupervisor(click.ClickException):
    """No supervisor answers."""

    exit_code = 3


def supervisor_location(file: Path) -> Place:
    try:
        return Place(folder_of(file))
    except FileRefused as error:
        raise InvalidFile(str(error)) from error


def ask_supervisor(location: Place, word: str, **more: Any) -> dict[str, Any]:
    """Raises Nobody if none answers, Failed or Faulty if what was asked for is refused."""

    async def main() -> dict[str, Any]:
        _, answer = await ask(location.socket, {"ask": word, **more}, trio.current_time() + ANSWER_TIMEOUT_S)
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


def print_answer(answer: dict[str, Any], as_json: bool, words: Callable[[dict[str, Any]], object]) -> None:
    click.echo(msgspec.json.encode(answer).decode() if as_json else words(answer))
