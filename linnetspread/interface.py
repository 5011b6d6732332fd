"""The settings, events and actions of the decision module.

Times are integers in microseconds. A load is the work per second, in microseconds on a standard core.
An event without a value for a field carries 0 or None; a key of 0 means that there is no key.
"""

import math
from dataclasses import dataclass, field
from enum import Enum, auto


class Semantics(Enum):
    """Whether a request that may have run may be repeated: always, by its key within a window, or never."""

    REPEATABLE = auto()
    BY_KEY = auto()
    ONCE = auto()


class DedupScope(Enum):
    """The servers that drop each other's repeats of a BY_KEY request."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()

    def joins(self, first: "ListedServer", second: "ListedServer") -> bool:
        """Returns whether these two servers drop each other's repeats."""
        same_zone, same_cell = first.zone == second.zone, first.cell == second.cell
        return self is DedupScope.ALL or same_zone and (self is DedupScope.ZONE or same_cell)


class ServerState(Enum):
    """The state of a server in the list."""

    GONE = auto()
    READY = auto()
    DRAINING = auto()


class ListKind(Enum):
    """The kind of a server list.

    DELTA names the changed servers, FULL and CACHED name all of them. FAILED reports that a request for the
    list or a subscription failed.
    """

    DELTA = auto()
    FULL = auto()
    CACHED = auto()
    FAILED = auto()


class Outcome(Enum):
    """The outcome of an attempt or a probe."""

    OK = auto()
    ERROR = auto()
    FULL = auto()
    TIMEOUT = auto()
    CONNECT_FAILED = auto()
    RESET = auto()
    CANCELLED = auto()
    MOOT = auto()
    UNKNOWN = auto()

    @property
    def never_ran(self) -> bool:
        """Whether the request certainly had no effect on the server."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)

    @property
    def failed(self) -> bool:
        """Whether the server could not be reached, did not answer or broke the connection."""
        return self in (Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET)


class NoticeKind(Enum):
    """The kind of a notice about an open connection: its load, or a slow message."""

    LOAD = auto()
    SLOW = auto()
    UNKNOWN = auto()


# ---- settings ----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The requirements of one class of requests."""

    aim_us: int = 1_000_000
    deadline_us: int = 5_000_000
    semantics: Semantics = Semantics.ONCE
    scope: DedupScope = DedupScope.CELL
    window_us: int = 0
    worth: float = 1.0
    message_aim_us: float = 0.0

    @property
    def refusable_after_run(self) -> bool:
        """Whether a client may send a request again that may have run."""
        dropped = self.semantics is Semantics.BY_KEY and self.scope is DedupScope.ALL
        return dropped or self.semantics is Semantics.REPEATABLE


@dataclass(frozen=True, slots=True)
class Tenant:
    """The share of one tenant, over all gateways."""

    portion: float = 1.0
    quota_per_s: float = 0.0
    quota_connections: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one gateway's decisions."""

    gateways: int = 1
    slot: int = 0
    zone: int = 0
    tick_us: int = 1_000
    classes: tuple[RequestClass, ...] = (RequestClass(),)
    tenants: tuple[Tenant, ...] = ()
    # The names of the kinds of server.
    kinds: tuple[str, ...] = ()
    weighted: bool = False
    ask_for_list: bool = False
    pass_through: bool = False
    park_us: int = 0
    over_share_worth: float = 1.0
    cold_share: float = 0.1
    cold_us: int = 30_000_000
    fall_multiple: float = 2.0
    fall_us: int = 2_000_000
    drain_grace_us: int = 0
    answer_slack_us: int = 0
    ask_within_us: int = 10_000_000
    max_attempts: int = 3
    # Within the look-back, `spare_attempts` further attempts are allowed however light the traffic is, and
    # `extra_per_request` more for each request received. A look-back of 0 sets no limit.
    spare_attempts: float = 0.0
    extra_per_request: float = 0.0
    look_back_us: int = 0
    connect_timeout_us: int = 250_000
    max_retry_after_us: int = 0
    may_retry_after: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_tell_peers: bool = False
    # Whether notices report how long a message takes.
    tells_delay: bool = False
    may_send_copies: bool = False

    @property
    def quota_connections(self) -> float:
        """The connections within the shares of all tenants; 0 where no shares are configured."""
        return sum(tenant.quota_connections for tenant in self.tenants)

    @property
    def quota_per_us(self) -> float:
        """The new connections per microsecond within the shares of all tenants; 0 without shares."""
        return sum(tenant.quota_per_s for tenant in self.tenants) / 1e6

    @property
    def life_us(self) -> float:
        """The mean life of a connection that follows from the shares; 0 without shares."""
        return self.quota_connections / self.quota_per_us if self.quota_per_us else 0.0

    @property
    def mean_worth(self) -> float:
        """The mean worth of a request over all classes; 1 if no class has any worth."""
        return sum(kind.worth for kind in self.classes) / len(self.classes) or 1.0

    @property
    def shortest_message_aim_us(self) -> float:
        """The shortest aim for a message over all classes; infinite if no class has one."""
        return min((kind.message_aim_us for kind in self.classes if kind.message_aim_us), default=math.inf)

    def class_of(self, request: "Request") -> RequestClass:
        """Returns the class of a request; the last class stands for numbers beyond it."""
        return self.classes[min(request.request_class, len(self.classes) - 1)]

    def tenant_of(self, request: "Request") -> int:
        """Returns the index of the tenant of a request; 0 where no tenants are configured."""
        return max(0, min(request.tenant, len(self.tenants) - 1))

    def quota_of(self, request: "Request") -> float:
        """Returns the connections in the share of the request's tenant, at all gateways; 0 without shares."""
        return self.tenants[self.tenant_of(request)].quota_connections if self.tenants else 0.0

    def warmth(self, age_us: float) -> float:
        """Returns the part of its power that a server certainly has at this age; it grows linearly."""
        return min(
            1.0, self.cold_share + (1 - self.cold_share) * age_us / self.cold_us if self.cold_us else 1.0
        )

    def mean_warmth(self, age_us: float) -> float:
        """Returns the mean of `warmth` since the start, for a server that is not warm yet."""
        return (self.cold_share + self.warmth(age_us)) / 2


# ---- events ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ListedServer:
    """The entry of one server in the list."""

    server: int
    state: ServerState
    weight: float = 1.0
    zone: int = 0
    kind: int = 0
    cell: int = 0
    started_us: int = 0

    @property
    def ready(self) -> bool:
        return self.state is ServerState.READY

    @property
    def present(self) -> bool:
        """Whether the server is ready or draining."""
        return self.state is not ServerState.GONE


@dataclass(frozen=True, slots=True)
class ServerList:
    """A server list or change; a version of 0 means that none is given."""

    kind: ListKind
    version: int = 0
    servers: tuple[ListedServer, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A new request for a connection.

    `identity` is a hash of the id under which its client may send it again; 0 if that is never the case.
    """

    request: int
    expires_in_us: int
    key: int = 0
    group: int = 0
    request_class: int = 0
    tenant: int = 0
    load_us: int | None = None
    client_retry: bool = False
    mid_flow: bool = False
    returning: bool = False
    identity: int = 0

    @property
    def shared_key(self) -> int:
        """The key for placement, which is the same for all members of a group."""
        return self.group or self.key or self.request

    @property
    def unmarked(self) -> bool:
        """Whether the client is not marked as one that was connected before."""
        return not (self.client_retry or self.mid_flow or self.returning)


@dataclass(frozen=True, slots=True)
class Existing:
    """A connection that is open already when this gateway starts."""

    connection: Request
    server: int


@dataclass(frozen=True, slots=True)
class Established:
    """The server accepted the connection of an attempt."""

    request: int
    attempt: int
    server: int
    elapsed_us: int = 0


@dataclass(frozen=True, slots=True)
class Answer:
    """The outcome of an attempt, or the end of its connection."""

    request: int
    attempt: int
    server: int
    outcome: Outcome
    elapsed_us: int = 0
    done: bool = False
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client of a request or connection disconnected."""

    request: int


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer that was set with this token expired."""

    token: int


@dataclass(frozen=True, slots=True)
class Notice:
    """A server's notice about one of its connections."""

    request: int
    attempt: int
    server: int
    kind: NoticeKind
    amount: float


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The outcome of a probe."""

    server: int
    outcome: Outcome
    elapsed_us: int = 0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another gateway."""

    sender: int
    data: bytes = field(default=b"")


Event = (
    ServerList
    | Request
    | Existing
    | Established
    | Answer
    | ClientLeft
    | Timer
    | Notice
    | ProbeResult
    | PeerMessage
)


# ---- actions -----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Attempt:
    """Sends a request to a server.

    `send_by_us` is the latest time, on the clock of the events, at which the request may be sent; None sets
    no limit. An attempt that can't be sent by then ends as MOOT.
    """

    request: int
    server: int
    timeout_us: int
    send_by_us: int | None = None


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuses a request that has had no effect or may be sent again; advises a wait unless it is 0."""

    request: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Fails a request that may have run."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels an attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Move:
    """Asks the client of an open connection to move; the client comes back as a new request."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Sets a timer, which reports its token when it expires."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Log:
    """Logs a text."""

    text: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribes to the server list, or ends the subscription."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Requests the full server list once."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Probes a server."""

    server: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Closes idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class Tell:
    """Sends bytes to one peer gateway, or to all of them (peer None)."""

    peer: int | None
    data: bytes


Action = (
    Attempt
    | Refuse
    | Fail
    | Cancel
    | Move
    | SetTimer
    | Log
    | Subscribe
    | FetchList
    | Probe
    | CloseIdle
    | Tell
)
