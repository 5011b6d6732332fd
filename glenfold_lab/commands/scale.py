"""`glenfold lab scale`: what relays, connections and control cost as the fleet grows."""

import click

from glenfold.cli.lazy import LazyGroup

COMMANDS = {
    name: (f"glenfold_lab.scale.{module}", line)
    for name, module, line in (
        ("lists", "lists_command", "real relays under lists of up to 10,240 servers"),
        ("connections", "connections_command", "what standing connections and their lines cost a relay"),
        ("topics", "topics_command", "how many servers the largest topic's listeners end up at"),
        ("capacity", "capacity_command", "the page of capacity, made from the results or checked"),
        ("control", "control_command", "thousands of hollow relays that follow lists and changes"),
    )
}


@click.group("scale", cls=LazyGroup, lazy_commands=COMMANDS)
def command() -> None:
    """Measure slopes at several sizes, and write them to a file of results.

    Exit status: 0 measured, 1 a bound was exceeded or a run failed, 2 the words are at fault.
    """
