"""The values of a scenario, from which histories are drawn. Their types are checked when they are read.

A `Range` is one number, or a pair between whose numbers each history draws one uniformly. Names of times end
in their unit; shares are fractions of 1; loads are fractions of a standard core. `scenario.py` reads these
values from TOML files.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
# A Pair is not tuple[float, float], as msgspec 0.23 crashes while collecting a union with such a pair.
Pair = Annotated[tuple[NotNegative, ...], Meta(min_length=2, max_length=2)]
Range = NotNegative | Pair
Name = Annotated[str, Meta(min_length=1, max_length=64)]


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of a scenario file. An unknown key is an error."""


class Zones(Part, frozen=True):
    """The zones of the machines, and the one-way delays within and between them.

    The delay of each message varies by `jitter`, a share of the delay.
    """

    names: tuple[Name, ...] = ("cardiff", "wrexham")
    same_ms: Range = (0.14, 0.34)
    cross_ms: Range = (6.8, 14.0)
    client_ms: Range = (0.27, 1.2)
    jitter: Range = (0.18, 0.34)


class ServerKind(Part, frozen=True):
    """Push servers of one kind. The shares of kinds are relative to each other.

    `speed` is that of a core, relative to a standard core; `speed_cv` is its coefficient of variation between
    servers of the kind. `per_core` is the number of standing connections of mean load that fill one standard
    core. `cap` is the maximum number of connections, as a multiple of what the cores can serve; a server
    accepts no connection beyond it. `queue` is the maximum number of waiting set-ups per core; beyond it the
    server answers BUSY. A server starts at the share `cold_from` of its capacity and is warm after `cold_s`.
    `buffer_s` is the queued work, in seconds of the server's capacity, beyond which it drops the heaviest
    connections. `message_ms` is the work of one message itself. `burst` is how far messages come in bursts; 1
    means not at all.
    """

    name: Name = "mid-steady"
    share: Positive = 1.0
    cores: Count = 3
    weight: Positive | None = None  # The listed weight; None means the number of cores.
    speed: Range = (1.0, 1.4)
    speed_cv: Range = (0.03, 0.2)
    per_core: Range = (21, 45)
    cap: Range = (1.9, 4.0)
    queue: Range = (210, 540)
    cold_from: Range = (0.12, 0.3)
    cold_s: Range = (10, 23)
    buffer_s: Range = (0.5, 3.0)
    message_ms: Range = (1.5, 6.0)
    burst: Range = (1.0, 5.0)


class Servers(Part, frozen=True):
    """The push servers.

    `cell_size` is the number of servers of a cell, which is a block of the list. `store_ms` is the time of
    the call that each set-up makes to the one store that all push servers share. `store_headroom` is the rate
    of calls that the store can serve, as a multiple of the rate of new connections that keeps all servers
    full; further calls wait in a queue. 0 means that there is no store.
    """

    count: Count = 12
    kinds: Annotated[tuple[ServerKind, ...], Meta(min_length=1)] = (ServerKind(),)
    zone_shares: tuple[Positive, ...] | None = None  # None spreads the servers evenly over the zones.
    cell_size: Count = 4
    group_cost: Range = 2.0  # The load of a group at a server, in mean loads of a connection.
    error_rate: Range = 0.0  # The share of set-ups that a server answers with ERR.
    store_ms: Range = (5.0, 40.0)
    store_headroom: Range = (10.0, 16.0)
    park_s: Range = (4.0, 9.0)  # How long a server keeps a connection whose packets stopped.


class Relays(Part, frozen=True):
    """The relays.

    `cores` is the part of a core that each relay may use. The values in `_us` are a relay's work for one step
    on a full core. `memory_mb` and `sockets` are the limits that the platform sets; None means no limit.
    """

    count: Count = 2
    cores: Range = 1.0
    accept_us: NotNegative = 250.0  # Accepting a client's connection and reading its first line.
    call_us: NotNegative = 250.0  # Starting an outbound call.
    reply_us: NotNegative = 300.0  # Passing on a server's answer.
    notice_us: NotNegative = 40.0  # Handling a LOAD line or the end of a connection.
    memory_mb: Positive | None = None
    sockets: Annotated[int, Meta(ge=32)] | None = None
    pass_through: bool = True  # Packets pass through, so connections outlive their relay.
    restart_s: Range = (1.0, 8.0)  # The time after which a relay that died is up again.


class Front(Part, frozen=True):
    """The front, which spreads clients over the relays of their zone.

    It detects a dead relay only after `notice_s`. `reshuffle` is the share of a running relay's connections
    that reach another relay when the set of relays changes.
    """

    notice_s: Range = (1.1, 3.0)
    reshuffle: Range = (0.02, 0.4)


class RequestClass(Part, frozen=True):
    """A class of connections.

    `share` is its share of all connections, `load` its mean load relative to the mean of all classes.
    `load_sigma` is the spread of loads between connections (lognormal), `swing_sigma` that of one connection
    over time, drawn again every `change_s`. `set_up_ms` is the work of a set-up at its server on a standard
    core. A message has worth only if it arrives within `message_aim_ms`. `worth` is that of each second for
    which a connection is served.
    """

    name: Name
    share: Positive = 1.0
    load: Range = 1.0
    load_sigma: Range = (0.95, 1.4)
    swing_sigma: Range = (0.2, 0.87)
    change_s: Range = (5.5, 18.0)
    set_up_ms: Range = (3.0, 13.0)
    aim_ms: Positive = 500.0
    deadline_ms: Positive = 3000.0
    message_aim_ms: Positive = 250.0
    worth: NotNegative = 1.0


class Scheme(Part, frozen=True):
    """A tenant. `share` is its share of the fleet's capacity, `usage` its demand relative to that share."""

    name: Name
    share: Positive = 1.0
    usage: Range = 1.0


class Clients(Part, frozen=True):
    """The demand of the clients.

    `load` is that of all connections together, including the load that each group shares at one server, as a
    share of the capacity of all warm push servers.
    `life_s` is the mean time for which a client wants its connection, `life_sigma` its spread (lognormal).
    `groups` is whether clients come in groups. `group_size` is their mean size, drawn log-uniformly;
    `group_zipf` is how unequal the sizes are.
    `retries` is the number of retries of a try that was refused, failed or got no answer. `backoff_ms` is the
    wait before the first retry; it doubles each time, up to `backoff_most_ms`. `honour` is the share of
    clients that obey the wait in BUSY.
    `rejoin_ms` bounds the time after which a client whose connection broke returns: a history draws one mean
    log-uniformly, and each client waits half to one and a half of it. `move_ms` does the same for a client
    that was moved. `lingers` is the share of clients that use a connection after MOVE until it ends (on
    sockets only). `marks_returning` is whether a returning client says so (`again=1`).
    `zone_skew` is how unequally clients spread over the zones.
    `standing` is whether connections stand at the start of the history, as many as the load requires.
    `connections` is the total number of connections, which then determines the load; with None the load
    determines the number. It is used with `standing` for a world of a given size.
    """

    load: Range = (0.3, 0.41)
    life_s: Range = (28.0, 130.0)
    life_sigma: Range = (0.8, 1.2)
    swing: Range = (0.16, 0.38)  # The variation of the rate of new clients over the history.
    shape: Literal["steady", "ramp"] = "steady"
    groups: bool = True
    group_size: Range = (5.0, 60.0)
    group_zipf: Range = (0.5, 1.0)
    retries: Annotated[int, Meta(ge=0, le=1000)] = 1000
    backoff_ms: Range = (25.0, 200.0)
    backoff_most_ms: Positive = 8000.0
    honour: Range = (0.34, 0.71)
    rejoin_ms: Pair = (64.0, 1800.0)
    move_ms: Pair = (20.0, 200.0)
    marks_returning: bool = True
    marks_retry: bool = False
    lingers: Share = 0.0
    zone_skew: Range = (0.15, 0.45)
    standing: bool = True
    connections: Count | None = None


class ServerList(Part, frozen=True):
    """How the server list reaches each relay.

    The list contains a drain or an end of a server after `notice_s`, a new server after `add_s`, and a server
    that vanished without a signal after `silent_notice_s`. `spread_ms` is the spread between relays. Changes
    are collected for `period_ms`. `late`, `lost`, `doubled` and `out_of_order` are the shares of the changes
    sent to a relay that arrive later by `late_s`, never, twice, or after the next change. Each change counts
    as sent to the relay after `told_within_s` at the latest.
    """

    notice_s: Range = (1.1, 4.2)
    add_s: Range = (0.46, 2.0)
    silent_notice_s: Range = (6.1, 12.0)
    spread_ms: Range = (16.0, 75.0)
    period_ms: Range = (150.0, 800.0)
    late: Share = 0.0
    late_s: Range = (0.5, 3.0)
    lost: Share = 0.0
    doubled: Share = 0.0
    out_of_order: Share = 0.0
    told_within_s: Positive = 6.0


class Rules(Part, frozen=True):
    """The limits of the rules, as in the platform's settings."""

    drain_grace_ms: Positive = 2000.0
    answer_slack_ms: NotNegative = 50.0
    cold_share: Share = 0.12
    cold_s: Positive = 23.0
    fall_multiple: Positive = 3.0
    fall_s: Positive = 3.0
    max_attempts: Count = 5
    max_retry_after_ms: NotNegative = 1500.0
    connect_timeout_ms: Positive = 250.0
    over_share_worth: Share = 0.2


FaultKind = Literal[
    "neighbour",  # Another load takes `size` of the cores of `part` of the servers, on and off.
    "shrink",  # The fleet shrinks to 1 / `size`: servers drain, over `over_s`, and end.
    "drain",  # `part` (or `count`) of the servers drain and end; with `replace`, others start.
    "restart_servers",  # `part` of the servers end at once and start again cold.
    "start_servers",  # `count` new servers start cold.
    "server_crash",  # Server processes die: connections are reset, new ones refused.
    "server_vanish",  # Server machines stop answering; nothing signals their end.
    "server_jam",  # Set-ups and messages hang; work queues up for `len_s`.
    "zone_loss",  # All servers (and relays, with `relays`) of `zone` are cut off for `len_s`.
    "relay_crash",  # `part` of the relays die and start again with their last list.
    "relay_restart",  # Relays are restarted as planned: SIGTERM, one by one over `over_s`.
    "relay_stall",  # Relay processes are stopped for `len_s`, then continue.
    "reconnect",  # `size` of the clients disconnect and return within `over_s`.
    "list_silent",  # The list sends nothing for `len_s`.
    "flap",  # `part` of the servers drain and return repeatedly, every `every_s`.
]


class Fault(Part, frozen=True):
    """A fault or a planned event.

    `at_s` is its time since the start of the history. The seed determines which machines or clients it
    affects.
    """

    kind: FaultKind
    at_s: Range
    len_s: Range = 0.0
    part: Range | None = None
    count: Count | None = None
    size: Range | None = None
    over_s: Range = 0.0
    every_s: Range | None = None
    zone: Name | None = None
    relays: bool = False
    replace: bool = False


class Scenario(Part, frozen=True):
    """A scenario. Each seed draws one history of it; the first `warm_up_s` do not count."""

    format: Literal[1]
    name: Name
    guards_against: Annotated[str, Meta(min_length=1, max_length=2000)]
    classes: Annotated[tuple[RequestClass, ...], Meta(min_length=1)]
    length_s: Positive = 50.0
    warm_up_s: NotNegative = 1.0
    schemes: tuple[Scheme, ...] = ()
    zones: Zones = Zones()
    servers: Servers = Servers()
    relays: Relays = Relays()
    front: Front = Front()
    clients: Clients = Clients()
    server_list: ServerList = ServerList()
    rules: Rules = Rules()
    faults: tuple[Fault, ...] = ()
