"""`glenfold WORDS`: everything but the platform's own start, which has no words."""

import click

import glenfold
from glenfold.cli.lazy import LazyGroup

COMMANDS = {
    "check": ("glenfold.cli.check", "whether operators' files are sound"),
    "completion": ("glenfold.cli.completion", "a script for a shell to complete words with"),
    "config": ("glenfold.cli.config", "what an operators' file amounts to"),
    "drain": ("glenfold.cli.drain", "have an instance finish what it has taken, and end"),
    "fleet": ("glenfold.cli.fleet", "the instances of one operators' file, and their supervisor"),
    "replica": ("glenfold.cli.replica", "a control replica, which passes discovery's lists on to many"),
    "reload": ("glenfold.cli.reload", "have instances read their file again"),
    "run": ("glenfold.cli.run", "one instance, until it is told to stop"),
    "status": ("glenfold.cli.status", "how instances stand"),
    "lab": ("glenfold_lab.cli", "worlds in virtual time, stand-ins, load, experiments and reports"),
}


@click.group(cls=LazyGroup, lazy_commands=COMMANDS, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(glenfold.__version__, message="glenfold %(version)s")
def main() -> None:
    """A relay for long-lived line connections, and the lab that proves it.

    Without any words this starts the relay that LB_CONFIG describes, as the platform does.

    Exit status, of all commands where they do not say more: 0 done, 1 what was asked for failed, 2 the words
    or a file are at fault, and nothing was begun.
    """
