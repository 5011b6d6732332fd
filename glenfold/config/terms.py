"""The tables of the operators' file, with the bounds and the default of each key.

The names of durations end in their unit, _s or _ms. docs/operators/fleet-file.md says what each key does.
"""

from typing import Annotated, Literal

from msgspec import Meta

from glenfold.config.address import read_address
from glenfold.config.platform import Parent
from glenfold.config.tables import Table
from glenfold.lines import MAX_WAIT_MS

DAY_S = 86_400
Name = Annotated[str, Meta(min_length=1, max_length=64)]
PathText = Annotated[str, Meta(min_length=1, max_length=1024, description="a path")]
AddressText = Annotated[str, Meta(min_length=1, max_length=260, description="an address, HOST:PORT")]
Addresses = Annotated[
    tuple[AddressText, ...],
    Meta(min_length=1, max_length=16, description="a list of 1 to 16 addresses, HOST:PORT"),
]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=10_000)]
Rate = Annotated[float, Meta(gt=0, le=1_000_000)]
NotNegative = Annotated[float, Meta(ge=0, le=1_000_000)]
Seconds = Annotated[float, Meta(ge=0, le=DAY_S)]
Duration = Annotated[float, Meta(ge=0.1, le=DAY_S)]
Level = Literal["debug", "info", "warning", "error"]


class Instance(Table, frozen=True):
    """The name of the instances and the folder of their files."""

    name: Name = "glenfold"
    folder: PathText | None = None


class Listeners(Table, frozen=True):
    """The addresses that the relays listen on."""

    addresses: Addresses | None = None


class Limits(Table, frozen=True):
    """The descriptors, the memory and the part of a core that each instance may use."""

    sockets: Annotated[int, Meta(ge=48, le=1 << 20)] = 1024
    memory_mb: Annotated[float, Meta(ge=24, le=1 << 20)] | None = None
    cores: Annotated[float, Meta(ge=0.01, le=1)] = 1.0


class ListParent(Table, frozen=True):
    """A control replica, or discovery itself, that server lists can be followed from."""

    address: AddressText
    zone: Name | None = None
    region: Name | None = None

    @property
    def parent(self) -> Parent:
        """The parent with its address as a pair; needs a file without errors."""
        return Parent(read_address(self.address), self.zone, self.region)


class ServerList(Table, frozen=True):
    """The sources of the server list."""

    discovery: AddressText | None = None
    parents: Annotated[tuple[ListParent, ...], Meta(min_length=1, max_length=64)] | None = None
    region: Name | None = None
    known: PathText | None = None


class RequestClass(Table, frozen=True):
    """The deadline, the semantics and the worth of one class of requests."""

    name: Name
    deadline_ms: Annotated[float, Meta(ge=1, le=MAX_WAIT_MS)] = 3000.0
    semantics: Literal["repeatable", "by_key", "once"] = "repeatable"
    dedup: Literal["all", "zone", "cell"] = "cell"
    window_ms: Annotated[float, Meta(ge=0, le=1000 * DAY_S)] = 0.0
    worth: NotNegative = 1.0
    message_aim_ms: Annotated[float, Meta(ge=1, le=MAX_WAIT_MS)] = 250.0


class Tenant(Table, frozen=True):
    """A tenant and its quotas."""

    name: Name
    quota_connections: NotNegative = 0.0
    quota_per_s: NotNegative = 0.0


class Rules(Table, frozen=True):
    """The options of the decisions on placement and attempts."""

    relays: Annotated[int, Meta(ge=1, le=10_000)] | None = None
    pass_through: bool = True
    weighted: bool = True
    tick_ms: Annotated[float, Meta(ge=0.1, le=1000)] = 1.0
    connect_timeout_ms: Annotated[float, Meta(ge=1, le=MAX_WAIT_MS)] = 250.0
    max_attempts: Annotated[int, Meta(ge=1, le=100)] = 5
    spare_attempts: NotNegative = 0.0
    extra_per_request: Share = 0.0
    look_back_s: Seconds = 0.0
    max_retry_after_ms: Annotated[float, Meta(ge=0, le=MAX_WAIT_MS)] = 1500.0
    over_share_worth: Share = 0.2
    cold_share: Share = 0.12
    cold_s: Duration = 23.0
    fall_multiple: Annotated[float, Meta(ge=1, le=1000)] = 3.0
    fall_s: Duration = 3.0
    split_groups: bool = False


class Settings(Table, frozen=True):
    """The settings that the decisions are made with."""

    classes: Annotated[tuple[RequestClass, ...], Meta(min_length=1, max_length=64)]
    tenants: Annotated[tuple[Tenant, ...], Meta(max_length=1024)] = ()
    zones: Annotated[tuple[Name, ...], Meta(max_length=64)] = ()
    zone: Name | None = None
    kinds: Annotated[tuple[Name, ...], Meta(max_length=64)] = ()
    rules: Rules = Rules()


class Snapshot(Table, frozen=True):
    """How often snapshots are written, where, and how old and large they may be."""

    on: bool = True
    folder: PathText | None = None
    every_s: Duration = 5.0
    most_age_s: Annotated[float, Meta(ge=1, le=365 * DAY_S)] = 86_400.0
    most_mb: Annotated[int, Meta(ge=1, le=1024)] = 16


class Logging(Table, frozen=True):
    """The form, the levels and the rate limit of the log."""

    form: Literal["text", "json"] = "text"
    level: Level = "info"
    levels: dict[str, Level] = {}
    events_per_s: Rate = 10.0
    burst: Annotated[int, Meta(ge=1, le=1_000_000)] = 100


class Control(Table, frozen=True):
    """The control socket of an instance."""

    on: bool = True
    socket: PathText | None = None


class Restart(Table, frozen=True):
    """How an instance shuts down and how its successor takes over."""

    deadline_s: Annotated[float, Meta(ge=3.7, le=3600)] = 30.0
    take_over: bool = True
    ready_s: Duration = 30.0


class Fleet(Table, frozen=True):
    """The instances of a fleet and how its supervisor restarts and rolls them."""

    instances: Count
    port_step: Count = 1
    addresses: Annotated[tuple[Addresses, ...], Meta(min_length=1, max_length=10_000)] | None = None
    stagger_s: Seconds = 0.0
    backoff_s: Duration = 0.5
    most_backoff_s: Duration = 30.0
    jitter: Share = 0.5
    steady_s: Duration = 30.0
    loop_ends: Annotated[int, Meta(ge=2, le=1000)] = 5
    loop_window_s: Duration = 120.0
    ready_within_s: Duration = 30.0
    stop_within_s: Duration = 75.0
    most_out: Count = 1
    window_s: Duration = 5.0
    settle_within_s: Duration = 60.0
    least_asked: Annotated[int, Meta(ge=1, le=1_000_000)] = 20
    as_before: Share = 0.01
    suffers: Share = 0.05


class Terms(Table, frozen=True):
    """All tables of an operators' file."""

    format: Literal[1]
    list: ServerList
    settings: Settings
    listeners: Listeners = Listeners()
    instance: Instance = Instance()
    limits: Limits = Limits()
    snapshot: Snapshot = Snapshot()
    logging: Logging = Logging()
    control: Control = Control()
    restart: Restart = Restart()
    fleet: Fleet | None = None
