"""For each line of the operators' size: the share of it at which today's mechanism stops, and the verdict."""

from dataclasses import dataclass

from glenfold_lab.scale.capacity.context import KB, MB, MS, Context
from glenfold_lab.scale.capacity.estimates import Estimate, least, rounded
from glenfold_lab.scale.capacity.tables import Formula, described, evaluated, markdown

PERCENT = 100.0


@dataclass(frozen=True, slots=True)
class Line:
    """One demand. `share`: at what part of it today's mechanism stops, 1 or more: it carries it. None: no
    formula, for the reason that `limit` gives. `mechanism` is what would have to be built."""

    demand: str
    limit: str
    share: Formula | None
    mechanism: str


@dataclass(frozen=True, slots=True)
class Verdict:
    """A line with its share worked out; `estimate` None: unknown."""

    line: Line
    estimate: Estimate | None
    words: str
    basis: str

    @property
    def share(self) -> float | None:
        return None if self.estimate is None else self.estimate.value


def judged(line: Line, context: Context) -> Verdict:
    """Never hides an assumption: a verdict that rests on one says so."""
    estimate = None if line.share is None else evaluated(line.share, context)
    if estimate is None:
        reason = "no mechanism to measure" if line.share is None else "not measured"
        return Verdict(line, None, "unknown", reason)
    words = "carried" if estimate.value >= 1 else f"not carried, up to {rounded(PERCENT * estimate.value)} %"
    if estimate.assumed:
        words += ", by assumption"
    return Verdict(line, estimate, words, described(estimate, context))


def connections_share(context: Context) -> Estimate:
    return 1.0 / context.relay_cores()


def memory_share(context: Context) -> Estimate:
    """Of the connections, within the memory that the days of the standing test give a relay."""
    return Estimate(context.sizes.given["relay_memory_mb"]) * MB / context.connection_memory()


def deliveries_share(context: Context) -> Estimate:
    in_time = context.slopes.largest_within("relay.delivery.p99", context.sizes.given["delivery_p99_ms"])
    return least(context.slopes.typical("relay.delivery.full_core"), in_time) / context.deliveries


def topic_share(context: Context) -> Estimate:
    """The largest topic beside a mean server's other connections, in what a server's table may hold."""
    spare = context.assume("server_connections_over_mean") - 1.0
    return spare / context.slopes.at("topic.busiest_over_mean", context.given("largest_topic"))


def keys_share(context: Context) -> Estimate:
    """How near the busiest server by keys comes to what a server may hold."""
    most = context.assume("server_connections_over_mean")
    return most / context.slopes.at("map.busiest_over_mean", context.servers)


def whole_list_share(context: Context) -> Estimate:
    return context.given("ready_s") / context.seconds_on_the_line(context.list_bytes())


def burst_line_share(context: Context) -> Estimate:
    return context.given("in_force_s") / context.seconds_on_the_line(context.zone_burst_bytes())


def burst_service_share(context: Context) -> Estimate:
    burst = context.slopes.at("control.agent.burst.in_force.max", context.size.relays, "watchers")
    return context.given("in_force_s") / burst


def change_service_share(context: Context) -> Estimate:
    slowest = context.slopes.at("control.agent.steady.in_force.max", context.size.relays, "watchers")
    return context.given("in_force_s") / slowest


def return_seconds(context: Context) -> Estimate:
    """Until one service has given every relay a whole list: what it takes at the measured number of servers,
    times the bytes of a list of the target's size."""
    start = context.slopes.at("control.agent.start.cpu", context.size.relays, "watchers")
    measured_list = context.slopes.typical("control.agent.whole_list.bytes")
    return start * MS * context.size.relays * context.list_bytes() / measured_list


def return_share(context: Context) -> Estimate:
    return context.given("ready_s") / return_seconds(context)


def lines_burst_share(context: Context) -> Estimate:
    """A zone's servers, each in a change of its own, taken in by one relay."""
    take_in = context.servers_in_a_zone * context.change_seconds()
    return context.given("in_force_s") / take_in


def control_cores_share(context: Context) -> Estimate:
    return context.given("control_core_share") / context.control_cores()


def control_memory_share(context: Context) -> Estimate:
    return context.given("control_memory_mb") * MB / context.control_memory()


def control_bytes_share(context: Context) -> Estimate:
    heartbeat = 1.0 / context.given("watch_line_s")
    return context.given("control_kb_per_s") * KB / (context.control_bytes() + heartbeat)


def loop_share(context: Context) -> Estimate:
    """A line may be held back for a second at the most (the protocol's figure)."""
    return context.given("longest_hold_s") * 1000.0 / context.slopes.at("list.cpu", context.servers)


def ready_share(context: Context) -> Estimate:
    return context.given("ready_s") / context.slopes.at("relay.ready", context.servers)


LINES = (
    Line(
        "3,400 relays with 210 million connections",
        "one relay is one core: watching connections, clients' lines, deliveries, set-ups",
        connections_share,
        "a leaner path, several cores",
    ),
    Line(
        "the same, memory",
        "192 MB to a relay, as on the days of the standing test; nobody has told another bound",
        memory_share,
        "less state for a connection, several processes",
    ),
    Line(
        "the largest topic has 1.2 million listeners",
        "one relay's part of it goes to one server, until that looks crowded",
        topic_share,
        "homes of a topic by its size",
    ),
    Line(
        "180,000 shards over the push servers",
        "the busiest server by keys alone",
        keys_share,
        "more buckets in the anchor",
    ),
    Line(
        "32 million deliveries a second, 130 ms for 99 in 100",
        "deliveries a second at which a relay's core is full, or 99 in 100 are later",
        deliveries_share,
        "a leaner path, several cores",
    ),
    Line("4 regions with 14 zones", "no setting knows regions; zones are names", None, "zones and regions"),
    Line(
        "a change in force everywhere within 4 s: the list, one service",
        "the slowest of 3,400 watches",
        change_service_share,
        "replicas of control",
    ),
    Line(
        "the same, a zone's burst",
        "the slowest of 3,400 watches",
        burst_service_share,
        "replicas of control",
    ),
    Line(
        "the same, a zone's burst at 13 KB/s",
        "bytes of one change a server",
        burst_line_share,
        "a smaller form of a change",
    ),
    Line(
        "the same, a change for each server of a zone, at a relay",
        "processor time of a change of one server",
        lines_burst_share,
        "a cheaper take-in, or changes taken together",
    ),
    Line(
        "all relays come back at once: ready within 10 s, one service",
        "processor time of a whole list for each relay",
        return_share,
        "replicas of control",
    ),
    Line(
        "the same, if settings are meant",
        "settings wait for a restart",
        None,
        "settings taken over while running",
    ),
    Line(
        "control, 1.3 % of a core", "the list's changes on average", control_cores_share, "a cheaper take-in"
    ),
    Line("control, 256 MB", "the list and the decisions' map", control_memory_share, "a smaller map"),
    Line("control, 13 KB/s", "the list's changes on average", control_bytes_share, "a smaller form"),
    Line(
        "a restart is ready within 10 s: its list at 13 KB/s",
        "bytes of a whole list",
        whole_list_share,
        "resumption from a history of revisions",
    ),
    Line("the same, on the relay's side", "time until PONG, on loopback", ready_share, "a faster take-in"),
    Line(
        "no line held back for over 1 s while a list is taken in",
        "processor time of a whole list, which stops the loop",
        loop_share,
        "a take-in in parts",
    ),
    Line(
        "9 machines a day, a rack a week, a zone a few times a year",
        "played by the lab at 100 relays and 1,000 servers, not at this size",
        None,
        "plays at this size",
    ),
)


def verdicts(context: Context) -> tuple[Verdict, ...]:
    return tuple(judged(line, context) for line in LINES)


def table(found: tuple[Verdict, ...]) -> str:
    rows = [[each.line.demand, each.line.limit, each.words, each.basis] for each in found]
    return markdown(["demand", "what bounds it today", "verdict", "rests on"], rows)


def ranking(found: tuple[Verdict, ...]) -> str:
    """Lines that are not carried, the smallest share first."""
    missing = [each for each in found if each.share is not None and each.share < 1]
    missing.sort(key=lambda each: each.share or 0.0)
    rows = [
        [
            f"{rounded(PERCENT * (each.share or 0.0))} %",
            each.line.demand,
            each.line.mechanism,
            "yes" if each.estimate and each.estimate.assumed else "no",
        ]
        for each in missing
    ]
    return markdown(["stops at", "demand", "mechanism that is missing", "rests on an assumption"], rows)
