"""The command `glenfold`. Without arguments, `glenfold.__main__` starts the platform's relay instead."""

import click

import glenfold
from glenfold.cli.lazy import LazyGroup

COMMANDS = {
    "check": ("glenfold.cli.check", "validate operators' files"),
    "completion": ("glenfold.cli.completion", "print a completion script for a shell"),
    "config": ("glenfold.cli.config", "show the effective configuration of an operators' file"),
    "drain": ("glenfold.cli.drain", "have an instance finish the work it has accepted, and exit"),
    "fleet": ("glenfold.cli.fleet", "manage the instances of one operators' file and their supervisor"),
    "replica": (
        "glenfold.cli.replica",
        "run a control replica, which passes discovery's lists on to many relays",
    ),
    "reload": ("glenfold.cli.reload", "have instances reload their file"),
    "run": ("glenfold.cli.run", "run one instance in the foreground"),
    "status": ("glenfold.cli.status", "show the state of instances"),
    "lab": ("glenfold_lab.cli", "run simulations, stand-ins, load tests, experiments and reports"),
}


@click.group(cls=LazyGroup, lazy_commands=COMMANDS, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(glenfold.__version__, message="glenfold %(version)s")
def main() -> None:
    """A relay for long-lived line connections, and the lab that tests it.

    Without arguments, this starts the relay that LB_CONFIG configures, as the platform does.

    Exit status of every command that does not list its own: 0 done, 1 the command failed, 2 the arguments or
    a file are invalid and nothing was started.
    """
