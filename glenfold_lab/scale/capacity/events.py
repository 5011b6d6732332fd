"""What ordinary and rare events cost the fleet, and what carries each."""

from dataclasses import dataclass

from glenfold_lab.scale.capacity.context import GB, KB, MB, MS, US, Context
from glenfold_lab.scale.capacity.estimates import Estimate, greatest
from glenfold_lab.scale.capacity.tables import Row, evaluated, markdown

RACK_RELAYS = "rack_relays"
SECONDS_AN_HOUR = 3600.0


@dataclass(frozen=True, slots=True)
class Event:
    """`costs` are worked out at the target; `mechanism` names the file that carries it, or says `missing`."""

    name: str
    costs: tuple[Row, ...]
    mechanism: str


def lost_connections(context: Context, relays: Estimate | float) -> Estimate:
    """Clients that have to be set up again when so many relays go."""
    return context.connections * relays


def setups_at_each_other(context: Context, relays: Estimate | float) -> Estimate:
    """Processor time at each relay that is left, for those who come back."""
    left = Estimate(context.size.relays) - relays
    cost = context.slopes.uncrowded("relay.connection.setup.cpu") * MS
    return lost_connections(context, relays) / left * cost


def zone_relays(context: Context) -> Estimate:
    return Estimate(context.size.relays) / context.given("zones")


def change_everywhere(context: Context, servers: Estimate | float) -> Estimate:
    """Processor time of a replica layer for as many servers' changes to all relays."""
    return servers * context.size.relays * context.slopes.typical("replica.change.cpu") * US


def hour_of_changes(context: Context) -> Estimate:
    return context.sizes.changes_per_s() * SECONDS_AN_HOUR


def burst_seconds(context: Context) -> Estimate:
    """Until a zone's changes have come to a relay and its decisions have taken them."""
    take_in = context.servers_in_a_zone * context.change_seconds()
    return greatest(context.seconds_on_the_line(context.zone_burst_bytes()), take_in)


RELAY_COSTS = (
    Row("clients that come back", "", "connections", lambda c: lost_connections(c, 1)),
    Row(
        "processor time at each other relay of the zone",
        "s",
        "connections / others x relay.connection.setup.cpu",
        lambda c: (
            lost_connections(c, 1)
            / (zone_relays(c) - 1)
            * c.slopes.uncrowded("relay.connection.setup.cpu")
            * MS
        ),
    ),
)

SERVER_COSTS = (
    Row("clients that come back", "", "connections / servers", lambda c: c.size.connections / c.servers),
    Row("bytes to a relay", "KB", "change.bytes", lambda c: c.change_bytes(), KB),
    Row("bytes to all relays", "MB", "relays x change.bytes", lambda c: c.size.relays * c.change_bytes(), MB),
    Row("processor time at a relay", "ms", "relay.change.cpu", lambda c: c.change_seconds(), MS),
    Row("until in force, measured, p99", "s", "relay.in_force.p99", lambda c: in_force(c)),
)

RESTART_COSTS = (
    Row(
        "whole lists",
        "GB a day",
        "restarts x list.bytes",
        lambda c: c.given("restarts_per_day") * c.list_bytes(),
        GB,
    ),
    Row(
        "one whole list at 13 KB/s",
        "s",
        "list.bytes / 13 KB/s",
        lambda c: c.seconds_on_the_line(c.list_bytes()),
    ),
    Row(
        "until ready, measured on loopback without that rate",
        "s",
        "relay.ready",
        lambda c: c.slopes.at("relay.ready", c.servers),
    ),
    Row(
        "changes missed in a restart of 10 s, as lines",
        "KB",
        "changes x 10 s x change.bytes",
        lambda c: c.control_bytes() * c.given("ready_s"),
        KB,
    ),
)

RACK_COSTS = (
    Row(
        "clients that come back",
        "million",
        "rack_relays x connections",
        lambda c: lost_connections(c, c.assume(RACK_RELAYS)),
        MB,
    ),
    Row(
        "processor time at each other relay",
        "s",
        "clients / others x relay.connection.setup.cpu",
        lambda c: setups_at_each_other(c, c.assume(RACK_RELAYS)),
    ),
)

ZONE_COSTS = (
    Row("servers that change at once", "", "servers / zones", lambda c: c.servers_in_a_zone),
    Row(
        "clients that come back",
        "million",
        "connections / zones",
        lambda c: lost_connections(c, zone_relays(c)),
        MB,
    ),
    Row(
        "processor time at each other relay",
        "s",
        "clients / others x relay.connection.setup.cpu",
        lambda c: setups_at_each_other(c, zone_relays(c)),
    ),
    Row("bytes to a relay", "KB", "servers / zones x change.bytes", lambda c: c.zone_burst_bytes(), KB),
    Row("until a relay has taken it, one change a server", "s", "the slower of line and loop", burst_seconds),
    Row(
        "until in force, from one service for all relays, measured",
        "s",
        "control.agent.burst.in_force.max",
        lambda c: c.slopes.at("control.agent.burst.in_force.max", c.size.relays, "watchers"),
    ),
    Row(
        "until in force, through replicas, measured",
        "s",
        "replica.burst.in_force.max",
        lambda c: c.slopes.typical("replica.burst.in_force.max"),
    ),
)

REGION_COSTS = (
    Row("changes missed", "", "changes x 3,600 s", lambda c: hour_of_changes(c)),
    Row(
        "to resume, a relay",
        "KB",
        "changes missed x change.bytes",
        lambda c: hour_of_changes(c) * c.change_bytes(),
        KB,
    ),
    Row(
        "the same at 13 KB/s",
        "s",
        "bytes / 13 KB/s",
        lambda c: c.seconds_on_the_line(hour_of_changes(c) * c.change_bytes()),
    ),
)

CHANGE_COSTS = (
    Row("on average", "a second", "changes_per_day / 86,400", lambda c: c.sizes.changes_per_s()),
    Row("a relay's processor time", "% of a core", "relay.change.cpu", lambda c: c.control_cores(), 0.01),
    Row(
        "replicas' processor time for all relays",
        "% of a core",
        "replica.change.cpu",
        lambda c: change_everywhere(c, c.sizes.changes_per_s()),
        0.01,
    ),
    Row(
        "until in force everywhere, through replicas, measured",
        "s",
        "replica.steady.in_force.max",
        lambda c: c.slopes.typical("replica.steady.in_force.max"),
    ),
)


def in_force(context: Context) -> Estimate:
    return context.slopes.at("relay.in_force.p99", context.servers)


EVENTS = (
    Event(
        "a relay fails",
        RELAY_COSTS,
        "the front, and one map at every relay (`linnetspread/choice.py`)",
    ),
    Event(
        "a push server fails or is replaced",
        SERVER_COSTS,
        "a watch (`glenfold/net/discovery.py`), cold ramps (`linnetspread/choice.py`)",
    ),
    Event(
        "2,700 restarts a day",
        RESTART_COSTS,
        "snapshots and `known` (`glenfold/daemon/snapshot.py`), the history of a replica "
        "(`glenfold/rules/replication.py`)",
    ),
    Event("a rack or switch, weekly", RACK_COSTS, "as for its machines; nothing knows of racks: missing"),
    Event(
        "a zone, and its return cold",
        ZONE_COSTS,
        "a watch, replicas (`glenfold/replica/`), cold ramps; a bound on what spills to other zones: missing",
    ),
    Event(
        "an hour without another region, and the reunion",
        REGION_COSTS,
        "replicas: stale parents, resumption (`glenfold/rules/`, `glenfold/replica/`)",
    ),
    Event("29,000 changes a day", CHANGE_COSTS, "a watch, replicas"),
)


def table(context: Context) -> str:
    """All events at the size of `context`."""
    rows: list[list[str]] = []
    for event in EVENTS:
        for number, row in enumerate(event.costs):
            found = evaluated(row.formula, context)
            name = event.name if number == 0 else ""
            mechanism = event.mechanism if number == 0 else ""
            value = row.cell(context) if found is None else f"{row.cell(context)} {row.unit}".strip()
            rows.append([name, row.what, value, row.basis(context), mechanism])
    return markdown(["event", "what it costs", "at the target", "rests on", "carried by"], rows)
