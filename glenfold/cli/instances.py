"""Functions that `status`, `drain` and `reload` share: they ask instances at their control sockets."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click
import msgspec
import trio

from glenfold.config import ConfigError
from glenfold.config.locations import InstanceLocation
from glenfold.config.operators import read
from glenfold.config.tables import FileErrors
from glenfold.daemon.ask import NoAnswer, ask

ANSWER_TIMEOUT_S = 5.0
REFUSED, INVALID_FILE, NO_ANSWER = 1, 2, 3  # The exit statuses of the commands.

Answer = dict[str, Any]

file_argument = click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
instance_option = click.option(
    "--instance", type=int, metavar="N", help="The number of one instance of a fleet, from 1."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


class InvalidFile(click.ClickException):
    """Raised when the operators' file or the arguments are invalid."""

    exit_code = INVALID_FILE


def locate_instances(file: Path, number: int | None, one_only: bool = False) -> list[InstanceLocation]:
    """Returns the location of instance `number`, or of all instances if `number` is None.

    With `one_only`, `number` may be None only for a file without a fleet. Raises InvalidFile, also if an
    instance has no control socket, and SystemExit after the errors of the file have been printed.
    """
    try:
        operators = read(file)
        numbers = operators.numbers if number is None and not one_only else (number,)
        locations = [operators.location(instance_number) for instance_number in numbers]
    except FileErrors as error:
        error.show()
        raise SystemExit(INVALID_FILE) from None
    except ConfigError as error:
        raise InvalidFile(f"{file}: {error}") from None
    if any(location.socket is None for location in locations):
        raise InvalidFile(
            f"{file}: instances have no control socket; that requires instance.folder, and control.on"
        )
    return locations


def ask_all(locations: Sequence[InstanceLocation], word: str) -> list[Answer]:
    """Sends the question `word` to all instances at once and returns their answers in the same order.

    Each answer has the `instance`, and the `pid` that the kernel reports for the socket's other end. For an
    instance that did not answer, `silent` holds the reason.
    """
    answers: list[Answer] = [{} for _ in locations]

    async def ask_one(index: int, location: InstanceLocation, deadline: float) -> None:
        assert location.socket is not None
        try:
            pid, answer = await ask(location.socket, {"ask": word}, deadline)
            answers[index] = {"instance": location.name, "pid": pid, **answer}
        except NoAnswer as error:
            answers[index] = {"instance": location.name, "silent": str(error)}

    async def main() -> None:
        deadline = trio.current_time() + ANSWER_TIMEOUT_S
        async with trio.open_nursery() as nursery:
            for index, location in enumerate(locations):
                nursery.start_soon(ask_one, index, location, deadline)

    trio.run(main)
    return answers


def print_answers(answers: Sequence[Answer], as_json: bool, lines: Sequence[str]) -> None:
    """Prints the answers as one JSON object, or else `lines`, their text for people."""
    if as_json:
        click.echo(msgspec.json.encode({"instances": answers}).decode())
    else:
        click.echo("\n".join(lines))


def exit_status(answers: Sequence[Answer], succeeded: Sequence[bool]) -> int:
    """Returns the exit status of a command; `succeeded` holds one value for each answer."""
    if all("silent" in answer for answer in answers):
        return NO_ANSWER
    if any(answer.get("file") for answer in answers):
        return INVALID_FILE
    return 0 if all(succeeded) else REFUSED


def outcome_line(answer: Answer, success_text: str) -> str:
    """Returns one line on an instance: why it did not answer, why it refused, or `success_text`."""
    outcome = answer.get("silent") or answer.get("refused") or success_text
    return f"{answer['instance']}: {outcome}"
