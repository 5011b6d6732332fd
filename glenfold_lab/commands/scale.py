"""`glenfold lab scale`: measures the cost of relays, connections and control as the fleet grows."""

import click

from glenfold.cli.lazy import LazyGroup

COMMANDS = {
    name: (f"glenfold_lab.scale.{module}", line)
    for name, module, line in (
        ("lists", "lists_command", "measure real relays with lists of up to 10,240 servers"),
        ("connections", "connections_command", "measure the cost of standing connections and their lines"),
        ("topics", "topics_command", "measure how many servers hold the listeners of the largest topic"),
        ("capacity", "capacity_command", "generate or check the page on capacity from the results"),
        ("control", "control_command", "measure thousands of hollow relays that follow lists and changes"),
    )
}


@click.group("scale", cls=LazyGroup, lazy_commands=COMMANDS)
def command() -> None:
    """Measure how costs grow over several sizes, and write the slopes to a file of results.

    Exit status: 0 measured, 1 a bound was exceeded or a run failed, 2 an argument is invalid.
    """
