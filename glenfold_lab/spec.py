"""The terms of a scenario: what a history is made of. Plain values, checked as they are read.

A `Range` is one number, or a pair of which each history draws one evenly. Times bear their unit in the
name; shares are parts of 1; loads are parts of a standard core. `scenario.py` reads these from TOML files.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
# Not tuple[float, float]: msgspec 0.23 crashes when its types are collected with such a pair in a union.
Pair = Annotated[tuple[NotNegative, ...], Meta(min_length=2, max_length=2)]
Range = NotNegative | Pair
Name = Annotated[str, Meta(min_length=1, max_length=64)]


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of a scenario file: a key that it does not know is a fault."""


class Zones(Part, frozen=True):
    """Where machines stand; one-way delays in milliseconds, each message's spread by `jitter` (a share)."""

    names: tuple[Name, ...] = ("cardiff", "wrexham")
    same_ms: Range = (0.14, 0.34)
    cross_ms: Range = (6.8, 14.0)
    client_ms: Range = (0.27, 1.2)
    jitter: Range = (0.18, 0.34)


class ServerKind(Part, frozen=True):
    """Push servers of one kind. Shares of kinds are relative to each other.

    speed: of a core, against a standard one; speed_cv: its spread between servers of the kind.
    per_core: standing connections of the mean load that fill a standard core.
    cap: most connections, as a multiple of what its cores can serve; beyond that it takes no connection.
    queue: most set-ups waiting, per core; beyond that it answers BUSY.
    cold_from, cold_s: it starts at this share of its capacity and is warm after so long.
    buffer_s: work piled up (seconds of its capacity) beyond which it drops the heaviest connections.
    message_ms: own work of one message; burst: how far messages come in bursts (1: not at all).
    """

    name: Name = "mid-steady"
    share: Positive = 1.0
    cores: Count = 3
    weight: Positive | None = None  # as listed; None: its cores
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
    """The push servers. cell_size: servers of a cell (a block of the list).

    store_ms: a set-up's call to the one store that all push servers share; store_headroom: how many times
    the rate of new connections that keeps all of them full that store can serve, beyond which calls wait in
    turn; 0: there is none.
    """

    count: Count = 12
    kinds: Annotated[tuple[ServerKind, ...], Meta(min_length=1)] = (ServerKind(),)
    zone_shares: tuple[Positive, ...] | None = None  # None: evenly over the zones
    cell_size: Count = 4
    group_cost: Range = 2.0  # of a group at a server, in mean loads of a connection
    error_rate: Range = 0.0  # share of set-ups that it answers ERR
    store_ms: Range = (5.0, 40.0)
    store_headroom: Range = (10.0, 16.0)
    park_s: Range = (4.0, 9.0)  # for how long a connection whose packets stopped is kept


class Relays(Part, frozen=True):
    """The relays. cores: the part of a core that each may use. *_us: its work for one step, on a full core.

    memory_mb and sockets: its limits, as the platform tells them; None: no bound.
    """

    count: Count = 2
    cores: Range = 1.0
    accept_us: NotNegative = 250.0  # a client's connection and its first line
    call_us: NotNegative = 250.0  # an outbound call begun
    reply_us: NotNegative = 300.0  # a server's answer, passed on
    notice_us: NotNegative = 40.0  # a LOAD line, an end
    memory_mb: Positive | None = None
    sockets: Annotated[int, Meta(ge=32)] | None = None
    pass_through: bool = True  # packets pass through: connections outlive their relay
    restart_s: Range = (1.0, 8.0)  # a relay that died is up again after so long


class Front(Part, frozen=True):
    """Spreads clients over the relays of their zone; a dead relay is noticed only after notice_s.

    reshuffle: share of a living relay's connections that land elsewhere when the set of relays changes.
    """

    notice_s: Range = (1.1, 3.0)
    reshuffle: Range = (0.02, 0.4)


class RequestClass(Part, frozen=True):
    """A class of connections. share: of all; load: mean, against the mean of all classes.

    load_sigma: spread of loads between connections (lognormal); swing_sigma: of one over time, drawn anew
    every change_s. set_up_ms: work of a set-up at its server on a standard core.
    message_aim_ms: a message is worth something within it. worth: for each second of a connection served.
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
    """A tenant. share: of what the fleet can do; usage: what it asks, against that share."""

    name: Name
    share: Positive = 1.0
    usage: Range = 1.0


class Clients(Part, frozen=True):
    """What clients ask.

    load: of all connections together, with what their groups share at one server each, as a share of what
    all push servers can do when warm.
    life_s: mean time for which a client wants its connection; life_sigma: its spread (lognormal).
    groups: whether clients come in groups; group_size: mean size, drawn evenly by its logarithm;
    group_zipf: how unequal the sizes are.
    retries: of a try that was refused, failed or got no answer; 0: none. backoff_ms: wait before the first,
    doubled each time, up to backoff_most_ms. honour: share of clients that heed the wait in BUSY.
    rejoin_ms: a client whose connection broke comes again within this; a history draws one mean, evenly by
    its logarithm, and each client half to one and a half of it. move_ms: likewise, of one that was moved.
    lingers: share of clients that go on using a connection after MOVE until it ends (on sockets only).
    marks_returning: whether it says so (`again=1`). zone_skew: how unequally clients spread over zones.
    standing: whether connections stand when the history starts, as many as the load says.
    connections: how many come in all, from which the load follows; None: the load decides. To be used with
    `standing` for a world of a given size.
    """

    load: Range = (0.3, 0.41)
    life_s: Range = (28.0, 130.0)
    life_sigma: Range = (0.8, 1.2)
    swing: Range = (0.16, 0.38)  # of the rate of new clients over the history
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
    """How the list reaches each relay. notice_s: until the list knows of a drain or an end; add_s: of a new
    server; silent_notice_s: of one that vanished without a word. spread_ms: between relays. period_ms: news
    is gathered for so long. late_s, lost, doubled, out_of_order: shares of the changes sent to a relay that
    come later by late_s, never, twice, or after the change behind them. Whatever there is to tell counts as
    told told_within_s later."""

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
    """The figures of the four rules, as the platform's settings tell them."""

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
    "neighbour",  # takes `size` of the cores of `part` of the servers, on and off
    "shrink",  # the fleet shrinks to 1 / `size`: servers drain, over `over_s`, and end
    "drain",  # `part` (or `count`) of the servers drain and end; with `replace`, others start
    "restart_servers",  # `part` of the servers end at once and start again cold
    "start_servers",  # `count` new servers start cold
    "server_crash",  # processes die: connections are reset, new ones refused
    "server_vanish",  # machines fall silent: nothing is signalled
    "server_jam",  # set-ups and messages hang: work piles up for `len_s`
    "zone_loss",  # all servers (and relays, with `relays`) of `zone` are cut off for `len_s`
    "relay_crash",  # `part` of the relays die and start again with their last list
    "relay_restart",  # planned: SIGTERM, one by one over `over_s`
    "relay_stall",  # processes stop for `len_s`, then go on
    "reconnect",  # `size` of the clients drop and come again within `over_s`
    "list_silent",  # the list says nothing for `len_s`
    "flap",  # `part` of the servers drain and return again and again, every `every_s`
]


class Fault(Part, frozen=True):
    """Something that happens. at_s from the start of the history; who it strikes is drawn by the seed."""

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
    """One kind of day. Each seed draws one history of it; the first warm_up_s do not count."""

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
