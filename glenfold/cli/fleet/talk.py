"""What the commands share: asking the supervisor of a file, and their exit statuses."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec
import trio

from glenfold.daemon.ask import NoAnswer, ask
from glenfold.daemon.fleet_file import supervisor_folder
from glenfold.daemon.supervisor import FileRefused, SupervisorPaths

ANSWER_S = 10.0  # a roll's file is checked meanwhile

file_argument = click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
json_option = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


class Failed(click.ClickException):
    """Refused, or it did not come to the end that was asked for."""

    exit_code = 1


class Faulty(click.ClickException):
    """The file is; nothing was changed."""

    exit_code = 2


class Nobody(click.ClickException):
    """No supervisor answers."""

    exit_code = 3


def place_of(file: Path) -> SupervisorPaths:
    try:
        return SupervisorPaths(supervisor_folder(file))
    except FileRefused as error:
        raise Faulty(str(error)) from error


def talk(place: SupervisorPaths, word: str, **more: Any) -> dict[str, Any]:
    """Raises Nobody if none answers, Failed or Faulty if what was asked for is refused."""

    async def main() -> dict[str, Any]:
        _, answer = await ask(place.socket, {"ask": word, **more}, trio.current_time() + ANSWER_S)
        return answer

    try:
        answer = trio.run(main)
    except NoAnswer as error:
        raise Nobody(
            f"no supervisor answers ({error}); relays serve on without one, and `glenfold fleet up`"
            " takes them over"
        ) from error
    if refused := answer.get("refused"):
        raise Faulty(str(refused)) if answer.get("file") else Failed(str(refused))
    return answer


def tell(answer: dict[str, Any], as_json: bool, words: Callable[[dict[str, Any]], object]) -> None:
    click.echo(msgspec.json.encode(answer).decode() if as_json else words(answer))
