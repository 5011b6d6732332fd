"""What each role holds, handles and costs, as formulas of the measured slopes."""

from collections.abc import Mapping

from glenfold_lab.scale.capacity.context import GB, KB, MB, US, Context
from glenfold_lab.scale.capacity.estimates import Estimate
from glenfold_lab.scale.capacity.tables import Row

PERCENT = 0.01

RELAY = (
    Row("connections", "", "connections / relays", lambda c: c.connections),
    Row("clients' lines", "a second", "connections / client_line_s", lambda c: c.client_lines),
    Row("deliveries", "a second", "deliveries / relays", lambda c: c.deliveries),
    Row("new connections", "a second", "connections / connection_life_s", lambda c: c.setups),
    Row(
        "bytes passed",
        "MB a second",
        "deliveries x delivery_bytes",
        lambda c: c.deliveries * c.assume("delivery_bytes"),
        MB,
    ),
    Row(
        "processor time, silent connections",
        "cores",
        "relay.connection.silent.cpu",
        lambda c: c.silent_cores(),
    ),
    Row(
        "processor time, clients' lines and their answers",
        "cores",
        "lines x relay.line.cpu",
        lambda c: c.client_line_cores(),
    ),
    Row(
        "processor time, deliveries", "cores", "deliveries x relay.delivery.cpu", lambda c: c.delivery_cores()
    ),
    Row(
        "processor time, new connections",
        "cores",
        "set-ups x relay.connection.setup.cpu",
        lambda c: c.setup_cores(),
    ),
    Row("processor time, all of these", "cores", "their sum", lambda c: c.relay_cores()),
    Row("memory with its connections", "GB", "relay.connection.memory", lambda c: c.connection_memory(), GB),
    Row(
        "memory of the list", "MB", "decisions.memory + destinations.memory", lambda c: c.control_memory(), MB
    ),
    Row(
        "processor time, changes of the list",
        "% of a core",
        "changes x relay.change.cpu",
        lambda c: c.control_cores(),
        PERCENT,
    ),
    Row("control, on average", "KB a second", "changes x change.bytes", lambda c: c.control_bytes(), KB),
    Row("a whole list", "KB", "list.bytes", lambda c: c.list_bytes(), KB),
    Row(
        "a whole list at the rate for control",
        "s",
        "list.bytes / 13 KB/s",
        lambda c: c.seconds_on_the_line(c.list_bytes()),
    ),
    Row(
        "processor time of the first whole list, before it serves",
        "ms",
        "list.cpu",
        lambda c: c.slopes.at("list.cpu", c.servers),
    ),
    Row(
        "stop of the loop, a whole list that comes again",
        "ms",
        "list_again.cpu",
        lambda c: c.slopes.at("list_again.cpu", c.servers),
    ),
    Row(
        "longest stop of the loop, changes at the mean rate",
        "ms",
        "relay.loop_stop.max",
        lambda c: c.slopes.at("relay.loop_stop.max", c.servers),
    ),
)

PUSH_SERVER = (
    Row("connections", "", "connections / servers", lambda c: c.size.connections / c.servers),
    Row(
        "connections at the busiest, by keys alone",
        "",
        "mean x map.busiest_over_mean",
        lambda c: c.size.connections / c.servers * c.slopes.at("map.busiest_over_mean", c.servers),
    ),
    Row("deliveries", "a second", "deliveries / servers", lambda c: c.size.deliveries_per_s / c.servers),
    Row(
        "new connections",
        "a second",
        "connections / servers / connection_life_s",
        lambda c: c.size.connections / c.servers / c.assume("connection_life_s"),
    ),
    Row(
        "clients' lines",
        "a second",
        "connections / servers / client_line_s",
        lambda c: c.size.connections / c.servers / c.assume("client_line_s"),
    ),
    Row("groups with a home there", "", "groups / servers", lambda c: c.size.groups / c.servers),
)

FRONT = (
    Row("relays in a zone", "", "relays / zones", lambda c: c.size.relays / c.given("zones")),
    Row(
        "connections of a zone",
        "million",
        "connections / zones",
        lambda c: c.size.connections / c.given("zones"),
        MB,
    ),
    Row(
        "new connections of a zone",
        "a second",
        "connections / zones / connection_life_s",
        lambda c: c.size.connections / c.given("zones") / c.assume("connection_life_s"),
    ),
)

AGENT = (
    Row("a whole list", "KB", "list.bytes", lambda c: c.list_bytes(), KB),
    Row("changes", "a second", "changes_per_day / 86,400", lambda c: c.sizes.changes_per_s()),
    Row(
        "one service for all relays, changes on average",
        "cores",
        "changes x relays x control.agent.change.cpu",
        lambda c: agent_cores(c, c.sizes.changes_per_s()),
    ),
    Row(
        "one service for all relays, a zone's burst",
        "s of a core",
        "servers / zones x relays x control.agent.change.cpu",
        lambda c: agent_cores(c, c.servers_in_a_zone),
    ),
)

CONTROL_MACHINE = (
    Row(
        "a replica's processor time, a change to a child",
        "us",
        "replica.change.cpu",
        lambda c: c.slopes.typical("replica.change.cpu"),
    ),
    Row(
        "all relays' changes on average",
        "cores",
        "changes x relays x replica.change.cpu",
        lambda c: replica_cores(c),
    ),
    Row(
        "a zone's burst to all relays",
        "s of a core",
        "servers / zones x relays x replica.change.cpu",
        lambda c: c.servers_in_a_zone * c.size.relays * c.slopes.typical("replica.change.cpu") * US,
    ),
    Row(
        "memory of a replica",
        "MB",
        "replica.memory",
        lambda c: c.slopes.at("replica.memory", c.servers, "servers"),
    ),
    Row(
        "whole lists of 2,700 restarts a day",
        "GB a day",
        "restarts_per_day x list.bytes",
        lambda c: c.given("restarts_per_day") * c.list_bytes(),
        GB,
    ),
)

CLIENT = (
    Row("lines up", "a second", "1 / client_line_s", lambda c: 1.0 / c.assume("client_line_s")),
    Row(
        "deliveries, on average",
        "a second",
        "deliveries / connections",
        lambda c: Estimate(c.size.deliveries_per_s / c.size.connections),
    ),
)

ROLES: Mapping[str, tuple[Row, ...]] = {
    "Relay": RELAY,
    "Push server": PUSH_SERVER,
    "Front": FRONT,
    "Discovery's agent": AGENT,
    "Control machine": CONTROL_MACHINE,
    "Client": CLIENT,
}


def agent_cores(context: Context, changes: Estimate) -> Estimate:
    """One process that serves every relay's watch, as the stand-in does."""
    cost = context.slopes.typical("control.agent.change.cpu") * US
    return changes * context.size.relays * cost


def replica_cores(context: Context) -> Estimate:
    """All replicas together, for the changes of an average day."""
    cost = context.slopes.typical("replica.change.cpu") * US
    return context.sizes.changes_per_s() * context.size.relays * cost
