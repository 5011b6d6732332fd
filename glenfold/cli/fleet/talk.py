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

FAILED, FAULTY, NOBODY = 1, 2, 3
ANSWER_S = 10.0  # a roll's file is checked meanwhile

file_argument = click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
json_option = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


class Fault(click.ClickException):
    """Ends a command with that status."""

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.exit_code = status


def place_of(file: Path) -> Place:
    try:
        return Place(folder_of(file))
    except FileRefused as error:
        raise Fault(str(error), FAULTY) from error


def talk(place: Place, word: str, **more: Any) -> dict[str, Any]:
    """Raises Fault if nobody answers, or what was asked for is refused."""
    async def main() -> dict[str, Any]:
        _, answer = await ask(place.socket, {"ask": word, **more}, trio.current_time() + ANSWER_S)
        return answer

    try:
        answer = trio.run(main)
    except NoAnswer as error:
        raise Fault(f"no supervisor answers ({error}); relays serve on without one, and `glenfold fleet up`"
                    " takes them over", NOBODY) from error
    if refused := answer.get("refused"):
        raise Fault(str(refused), FAULTY if answer.get("file") else FAILED)
    return answer


def tell(answer: dict[str, Any], as_json: bool, words: Callable[[dict[str, Any]], object]) -> None:
    click.echo(msgspec.json.encode(answer).decode() if as_json else words(answer))
