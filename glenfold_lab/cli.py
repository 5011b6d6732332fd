"""`glenfold lab ...`: the model, stand-ins on sockets, load, experiments and reports.

Exit status: 0 if the command succeeded and every rule was kept, 1 if a rule was broken or the command failed,
2 if an argument or a file is invalid; in that case nothing has been written.
"""

import click

from glenfold.cli.lazy import LazyGroup

PLACES = {
    name: (f"glenfold_lab.commands.{name}", line)
    for name, line in (
        ("scenarios", "list the shipped scenarios, or check a file"),
        ("run", "play one history of a scenario in virtual time"),
        ("experiment", "play factors, seeds and revisions against each other"),
        ("report", "draw results as one HTML file"),
        ("play", "play a scenario with real relays and stand-ins on loopback sockets"),
        ("soak", "play real relays under faults and signals that seeds draw"),
        ("load", "put open-loop load on relays and measure latencies"),
        ("scale", "measure what relays, connections and control cost as the fleet grows"),
        ("demo", "a relay with stand-ins and clients for 20 s, with a live table"),
    )
}


@click.group("lab", cls=LazyGroup, lazy_commands=PLACES)
def command() -> None:
    """Worlds in virtual time, stand-ins on loopback sockets, load, experiments and reports.

    Exit status: 0 done and every rule was kept, 1 a rule was broken or what was asked for failed, 2 the words
    or a file are at fault.
    """
