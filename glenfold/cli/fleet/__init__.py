"""`glenfold fleet ...`: manages the instances of one operators' file on this machine.

Exit status: 0 done; 1 refused or failed, with the reason; 2 the arguments or the file are invalid, nothing
was changed; 3 no supervisor answers. `status` exits with 1 if an instance is not ready or a roll was stopped.
"""

import click

from glenfold.cli.lazy import LazyGroup

COMMANDS = {
    name: (f"glenfold.cli.fleet.{name}", summary)
    for name, summary in (
        ("up", "start a supervisor, which starts the instances or adopts those that run"),
        ("roll", "restart one instance after the other; stop if service degrades"),
        ("status", "show the state of each instance and of a roll"),
        ("reload", "have all instances reload the file"),
        ("release", "restart instances that are held because they exited too often"),
        ("down", "stop all instances and the supervisor"),
    )
}


@click.group("fleet", cls=LazyGroup, lazy_commands=COMMANDS)
def command() -> None:
    """Manage the instances of one operators' file on this machine, and their supervisor.

    Exit status: 0 done; 1 refused or failed, with the reason; 2 the arguments or the file are invalid; 3 no
    supervisor answers.
    """
