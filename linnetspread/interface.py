"""What goes into the decision module and what comes out: settings, events and actions.

Times are integers in microseconds. Loads are microseconds of work a second on a standard core.
An event that lacks a value carries 0 or None; a key of 0 means that there is none.
"""

import math
from dataclasses import dataclass, field
from enum import Enum, auto


class Semantics(Enum):
    """What repeating a request does."""

    REPEATABLE = auto()
    BY_KEY = auto()
    ONCE = auto()


class DedupScope(Enum):
    """For BY_KEY: the servers that drop each other's repeats."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()

    def joins(self, first: "ListedServer", second: "ListedServer") -> bool:
        """Whether these two drop each other's repeats."""
        same_zone, same_cell = first.zone == second.zone, first.cell == second.cell
        return self is DedupScope.ALL or same_zone and (self is DedupScope.ZONE or same_cell)


class ServerState(Enum):
    GONE = auto()
    READY = auto()
    DRAINING = auto()


class ListKind(Enum):
    """DELTA names changed servers, FULL and CACHED all of them; FAILED: a call or subscription failed."""

    DELTA = auto()
    FULL = auto()
    CACHED = auto()
    FAILED = auto()


class Outcome(Enum):
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
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)

    @property
    def failed(self) -> bool:
        """The server could not be reached, fell silent or broke off."""
        return self in (Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET)


class NoticeKind(Enum):
    LOAD = auto()
    SLOW = auto()
    UNKNOWN = auto()


# ---- settings ----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestClass:
    aim_us: int = 1_000_000
    deadline_us: int = 5_000_000
    semantics: Semantics = Semantics.ONCE
    scope: DedupScope = DedupScope.CELL
    window_us: int = 0
    worth: float = 1.0
    message_aim_us: float = 0.0

    @property
    def refusable_after_run(self) -> bool:
        """Whether the client may come again with a request that may have run."""
        dropped = self.semantics is Semantics.BY_KEY and self.scope is DedupScope.ALL
        return dropped or self.semantics is Semantics.REPEATABLE


@dataclass(frozen=True, slots=True)
class Tenant:
    portion: float = 1.0
    quota_per_s: float = 0.0
    quota_connections: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    gateways: int = 1
    slot: int = 0
    zone: int = 0
    tick_us: int = 1_000
    classes: tuple[RequestClass, ...] = (RequestClass(),)
    tenants: tuple[Tenant, ...] = ()
    kinds: tuple[str, ...] = ()  # names of the kinds of server
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
    spare_attempts: float = 0.0  # with a look-back: further attempts allowed however light the traffic,
    extra_per_request: float = 0.0  # and for each request taken within it
    look_back_us: int = 0  # 0: further attempts are not rationed
    connect_timeout_us: int = 250_000
    max_retry_after_us: int = 0
    may_retry_after: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_tell_peers: bool = False
    tells_delay: bool = False  # notes say what a message takes
    may_send_copies: bool = False

    @property
    def quota_connections(self) -> float:
        """Of all tenants; 0 where no shares are told."""
        return sum(tenant.quota_connections for tenant in self.tenants)

    @property
    def quota_per_us(self) -> float:
        """New connections a microsecond within the shares of all tenants; 0 where none are told."""
        return sum(tenant.quota_per_s for tenant in self.tenants) / 1e6

    @property
    def life_us(self) -> float:
        """Mean, of a connection, as the shares tell it; 0 where none are told."""
        return self.quota_connections / self.quota_per_us if self.quota_per_us else 0.0

    @property
    def mean_worth(self) -> float:
        """Of a request over all classes; 1 where none is worth anything."""
        return sum(kind.worth for kind in self.classes) / len(self.classes) or 1.0

    @property
    def shortest_message_aim_us(self) -> float:
        """Infinite where no class has one."""
        return min((kind.message_aim_us for kind in self.classes if kind.message_aim_us), default=math.inf)

    def class_of(self, request: "Request") -> RequestClass:
        return self.classes[min(request.request_class, len(self.classes) - 1)]

    def tenant_of(self, request: "Request") -> int:
        """The index of its tenant; 0 where none is told."""
        return max(0, min(request.tenant, len(self.tenants) - 1))

    def quota_of(self, request: "Request") -> float:
        """Connections within its tenant's share, at all gateways; 0 where none is told."""
        return self.tenants[self.tenant_of(request)].quota_connections if self.tenants else 0.0

    def warmth(self, age_us: float) -> float:
        """The part of its power that a server has for certain so long after its start: it grows evenly."""
        return min(
            1.0, self.cold_share + (1 - self.cold_share) * age_us / self.cold_us if self.cold_us else 1.0
        )

    def mean_warmth(self, age_us: float) -> float:
        """The mean of `warmth` since the start, for a server that is not warm yet."""
        return (self.cold_share + self.warmth(age_us)) / 2


# ---- events ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ListedServer:
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
        """It takes clients, or lets those that it has leave."""
        return self.state is not ServerState.GONE


@dataclass(frozen=True, slots=True)
class ServerList:
    kind: ListKind
    version: int = 0
    servers: tuple[ListedServer, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
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

    @property
    def shared_key(self) -> int:
        """What it is placed by: the same for all of a group."""
        return self.group or self.key or self.request

    @property
    def unmarked(self) -> bool:
        """Nothing says that its client was here before."""
        return not (self.client_retry or self.mid_flow or self.returning)


@dataclass(frozen=True, slots=True)
class Existing:
    """A connection that already passes through this gateway when it starts."""

    connection: Request
    server: int


@dataclass(frozen=True, slots=True)
class Established:
    request: int
    attempt: int
    server: int
    elapsed_us: int = 0


@dataclass(frozen=True, slots=True)
class Answer:
    request: int
    attempt: int
    server: int
    outcome: Outcome
    elapsed_us: int = 0
    done: bool = False
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientLeft:
    request: int


@dataclass(frozen=True, slots=True)
class Timer:
    token: int


@dataclass(frozen=True, slots=True)
class Notice:
    request: int
    attempt: int
    server: int
    kind: NoticeKind
    amount: float


@dataclass(frozen=True, slots=True)
class ProbeResult:
    server: int
    outcome: Outcome
    elapsed_us: int = 0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
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
    request: int
    server: int
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Refuse:
    request: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Move:
    """Ends an open connection politely; its client comes back as a new request."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Log:
    text: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    pass


@dataclass(frozen=True, slots=True)
class Probe:
    server: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
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
