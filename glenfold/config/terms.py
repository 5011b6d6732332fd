"""The tables of the operators' file, with the bounds and the default of each key.

Lengths of time bear their unit in the name, _s or _ms. docs/operators/fleet-file.md tells what each key does.
"""

from typing import Annotated, Literal

from msgspec import Meta

from glenfold.config.platform import Parent, read_address
from glenfold.config.tables import Table
from glenfold.lines import MAX_WAIT_MS

DAY_S = 86_400
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Path = Annotated[str, Meta(min_length=1, max_length=1024, description="a path")]
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
Length = Annotated[float, Meta(ge=0.1, le=DAY_S)]
Level = Literal["debug", "info", "warning", "error"]


class Instance(Table, frozen=True):
    name: Name = "glenfold"
    folder: Path | None = None


class Listeners(Table, frozen=True):
    addresses: Addresses | None = None


class Limits(Table, frozen=True):
    sockets: Annotated[int, Meta(ge=48, le=1 << 20)] = 1024
    memory_mb: Annotated[float, Meta(ge=24, le=1 << 20)] | None = None
    cores: Annotated[float, Meta(ge=0.01, le=1)] = 1.0


class ListParent(Table, frozen=True):
    address: AddressText
    zone: Name | None = None
    region: Name | None = None

    @property
    def parent(self) -> Parent:
        """Of a sound file."""
        return Parent(read_address(self.address), self.zone, self.region)


class ServerList(Table, frozen=True):
    discovery: AddressText | None = None
    parents: Annotated[tuple[ListParent, ...], Meta(min_length=1, max_length=64)] | None = None
    region: Name | None = None
    known: Path | None = None


class RequestClass(Table, frozen=True):
    name: Name
    deadline_ms: Annotated[float, Meta(ge=1, le=MAX_WAIT_MS)] = 3000.0
    semantics: Literal["repeatable", "by_key", "once"] = "repeatable"
    dedup: Literal["all", "zone", "cell"] = "cell"
    window_ms: Annotated[float, Meta(ge=0, le=1000 * DAY_S)] = 0.0
    worth: NotNegative = 1.0
    message_aim_ms: Annotated[float, Meta(ge=1, le=MAX_WAIT_MS)] = 250.0


class Tenant(Table, frozen=True):
    name: Name
    quota_connections: NotNegative = 0.0
    quota_per_s: NotNegative = 0.0


class Rules(Table, frozen=True):
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
    cold_s: Length = 23.0
    fall_multiple: Annotated[float, Meta(ge=1, le=1000)] = 3.0
    fall_s: Length = 3.0
    split_groups: bool = False


class Settings(Table, frozen=True):
    classes: Annotated[tuple[RequestClass, ...], Meta(min_length=1, max_length=64)]
    tenants: Annotated[tuple[Tenant, ...], Meta(max_length=1024)] = ()
    zones: Annotated[tuple[Name, ...], Meta(max_length=64)] = ()
    zone: Name | None = None
    kinds: Annotated[tuple[Name, ...], Meta(max_length=64)] = ()
    rules: Rules = Rules()


class Snapshot(Table, frozen=True):
    on: bool = True
    folder: Path | None = None
    every_s: Length = 5.0
    most_age_s: Annotated[float, Meta(ge=1, le=365 * DAY_S)] = 86_400.0
    most_mb: Annotated[int, Meta(ge=1, le=1024)] = 16


class Logging(Table, frozen=True):
    form: Literal["text", "json"] = "text"
    level: Level = "info"
    levels: dict[str, Level] = {}
    events_per_s: Rate = 10.0
    burst: Annotated[int, Meta(ge=1, le=1_000_000)] = 100


class Control(Table, frozen=True):
    on: bool = True
    socket: Path | None = None


class Restart(Table, frozen=True):
    deadline_s: Annotated[float, Meta(ge=3.7, le=3600)] = 30.0
    take_over: bool = True
    ready_s: Length = 30.0


class Fleet(Table, frozen=True):
    instances: Count
    port_step: Count = 1
    addresses: Annotated[tuple[Addresses, ...], Meta(min_length=1, max_length=10_000)] | None = None
    stagger_s: Seconds = 0.0
    backoff_s: Length = 0.5
    most_backoff_s: Length = 30.0
    jitter: Share = 0.5
    steady_s: Length = 30.0
    loop_ends: Annotated[int, Meta(ge=2, le=1000)] = 5
    loop_window_s: Length = 120.0
    ready_within_s: Length = 30.0
    stop_within_s: Length = 75.0
    most_out: Count = 1
    window_s: Length = 5.0
    settle_within_s: Length = 60.0
    least_asked: Annotated[int, Meta(ge=1, le=1_000_000)] = 20
    as_before: Share = 0.01
    suffers: Share = 0.05


class Terms(Table, frozen=True):
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
