"""`glenfold fleet ...`: the instances of one operators' file on this machine.

Exit status: 0 done; 1 refused or failed, with the reason; 2 the words or the file are at fault, nothing was
changed; 3 no supervisor answers. `status` gives 1 if an instance is not ready or a roll was stopped.
"""

import click

from glenfold.cli.lazy import LazyGroup

COMMANDS = {
    name: (f"glenfold.cli.fleet.{name}", line)
    for name, line in (
        ("up", "supervise: start the instances, or take over those that run"),
        ("roll", "restart one after the other, and stop when service suffers"),
        ("status", "tell how each instance and a roll stand"),
        ("reload", "have all instances read the file again"),
        ("release", "start again what is held for ending too often"),
        ("down", "stop all instances and the supervisor"),
    )
}


@click.group("fleet", cls=LazyGroup, lazy_commands=COMMANDS)
def command() -> None:
    """The instances of one operators' file on this machine, and their supervisor.

    Exit status: 0 done; 1 refused or failed, with the reason; 2 the words or the file are at fault; 3 no
    supervisor answers.
    """
