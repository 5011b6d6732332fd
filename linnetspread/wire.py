"""The codec between the binary records of the wire and the types of interface.py; it makes no decisions."""

import math
import struct
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeVar

from linnetspread import interface

MAX_DELAY_US = 0xFFFFFFFF


class BrokenFrame(Exception):
    """Raised when bytes are not a valid frame of the wire."""


@dataclass(frozen=True, slots=True)
class PowerOn:
    """Starts an instance, or starts it anew, with a seed for its random waits."""

    seed: int
    settings: interface.Settings


@dataclass(frozen=True, slots=True)
class Kill:
    """Ends an instance without any further action."""


Incoming = interface.Event | PowerOn | Kill

BATCH_HEADER = struct.Struct(">QI")
RECORD_HEADER = struct.Struct(">BI")
SERVER_LIST = struct.Struct(">IBII")
LIST_ENTRY = struct.Struct(">IHBHBfQ")
REQUEST = struct.Struct(">IQIQQBBHI")
EXISTING = struct.Struct(">IQBHQIIQBI")
ESTABLISHED = struct.Struct(">IQBII")
ANSWER = struct.Struct(">IQBIHIBB")
NOTICE = struct.Struct(">IQBIBf")
PROBE_RESULT = struct.Struct(">IHIIB")
PEER_MESSAGE = struct.Struct(">IIH")
POWER_ON = struct.Struct(">IQI")
ID = struct.Struct(">I")
ID_U64 = struct.Struct(">IQ")

OUTCOMES = {
    10: interface.Outcome.OK,
    20: interface.Outcome.ERROR,
    30: interface.Outcome.FULL,
    40: interface.Outcome.TIMEOUT,
    50: interface.Outcome.CONNECT_FAILED,
    60: interface.Outcome.RESET,
    70: interface.Outcome.CANCELLED,
    80: interface.Outcome.MOOT,
}
LIST_KINDS = {
    0: interface.ListKind.DELTA,
    1: interface.ListKind.FULL,
    2: interface.ListKind.CACHED,
    3: interface.ListKind.FAILED,
}
STATES = {0: interface.ServerState.GONE, 1: interface.ServerState.READY, 2: interface.ServerState.DRAINING}
NOTICE_KINDS = {1: interface.NoticeKind.LOAD, 2: interface.NoticeKind.SLOW}
SEMANTICS = {
    "repeatable": interface.Semantics.REPEATABLE,
    "by_key": interface.Semantics.BY_KEY,
    "once": interface.Semantics.ONCE,
}
WEIGHT_MODES = {"none": False, "nominal": True, "rough": True, "live": False}
SCOPES = {
    "all": interface.DedupScope.ALL,
    "zone": interface.DedupScope.ZONE,
    "cell": interface.DedupScope.CELL,
}


# ---- settings ----------------------------------------------------------------------------------


# A key of the settings, and what is wrong with its value.
Problem = tuple[str, str]
# The largest number that a setting may have, whatever its unit.
MAX_NUMBER = 1e15
FLAG_WORDS = {"true": True, "1": True, "false": False, "0": False}
T = TypeVar("T")


class _SettingsText:
    """The settings text as a mapping from names to values.

    A missing value takes its default. So does a value of the wrong type or out of its range, which is added
    to `problems` as well.
    """

    def __init__(self, text: str, problems: list[Problem]) -> None:
        pairs = (line.split("=", 1) for line in text.splitlines() if "=" in line)
        self.values = {name.strip(): value.strip() for name, value in pairs}
        self.tables = {name[:end] for name in self.values for end, char in enumerate(name) if char == "."}
        self.problems = problems

    def _report_problem(self, name: str, problem: str) -> None:
        if (name, problem) not in self.problems:
            self.problems.append((name, problem))

    def _text(self, name: str) -> str | None:
        for end, char in enumerate(name):
            if char == "." and self.values.get(name[:end]):
                self._report_problem(name[:end], "is not an object")
        if name in self.tables:
            self._report_problem(name, "is not a single value")
            return None
        return self.values.get(name)

    def _read(self, name: str, text: str, default: float, min_value: float, max_value: float) -> float:
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        # NaN fails both comparisons.
        if min_value <= value <= max_value:
            return value
        self._report_problem(name, f"{text[:40]!r} is not a number from {min_value:g} to {max_value:g}")
        return default

    # Each reader below returns the value of a name, or the default if it is missing or faulty.

    def number(
        self, name: str, default: float, min_value: float = 0.0, max_value: float = MAX_NUMBER
    ) -> float:
        text = self._text(name)
        return default if text is None else self._read(name, text, default, min_value, max_value)

    def integer(self, name: str, default: int, min_value: int = 0) -> int:
        return int(self.number(name, default, min_value))

    def one_of(self, name: str, words: Mapping[str, T], default: T) -> T:
        text = self._text(name)
        if not text or text.lower() in words:
            return words[text.lower()] if text else default
        self._report_problem(name, f"{text[:40]!r} is not one of {', '.join(words)}")
        return default

    def flag(self, name: str) -> bool:
        return self.one_of(name, FLAG_WORDS, False)

    def numbers(self, name: str) -> list[float]:
        texts = filter(None, (self._text(name) or "").split(","))
        return [self._read(f"{name}.{n}", text, 0.0, 0.0, MAX_NUMBER) for n, text in enumerate(texts)]

    def items(self, name: str) -> range:
        """Returns the indexes of a list of objects."""
        if self.values.get(name):
            self._report_problem(name, "is not a list of objects")
        return range(self.integer(f"{name}.count", 0))

    def require(self, name: str) -> str:
        """Returns the name, and reports a problem if the settings lack it."""
        if name not in self.values and name not in self.tables:
            self._report_problem(name, "is missing")
        return name


def _value_at(values: list[float], index: int) -> float:
    return values[index] if index < len(values) else 0.0


def read_settings(text: str, problems: list[Problem] | None = None) -> interface.Settings:
    """Returns the settings of a text with lines `name=value`.

    Unknown names are ignored. Missing and faulty values take the defaults of Settings, and the faulty ones
    are added to `problems`.
    """
    pairs, defaults, class_defaults = (
        _SettingsText(text, [] if problems is None else problems),
        interface.Settings(),
        interface.RequestClass(),
    )
    aims = pairs.numbers("extra.message_aim_us")
    classes = tuple(
        interface.RequestClass(
            aim_us=pairs.integer(f"classes.{n}.aim_us", class_defaults.aim_us),
            deadline_us=pairs.integer(
                pairs.require(f"classes.{n}.hard_limit_us"), class_defaults.deadline_us, 1
            ),
            semantics=pairs.one_of(f"classes.{n}.semantics", SEMANTICS, class_defaults.semantics),
            scope=pairs.one_of(f"classes.{n}.group", SCOPES, class_defaults.scope),
            window_us=pairs.integer(f"classes.{n}.window_us", class_defaults.window_us),
            worth=pairs.number(f"classes.{n}.worth", class_defaults.worth),
            message_aim_us=_value_at(aims, n),
        )
        for n in pairs.items("classes")
    )
    quotas = pairs.numbers("extra.tenant_quota_connections")
    tenants = tuple(
        interface.Tenant(
            portion=pairs.number(f"accounts.{n}.portion", 1.0),
            quota_per_s=pairs.number(f"accounts.{n}.quota_per_s", 0.0),
            quota_connections=_value_at(quotas, n),
        )
        for n in pairs.items("accounts")
    )
    return interface.Settings(
        gateways=pairs.integer("replicas_of_me", defaults.gateways, 1),
        slot=pairs.integer("slot_no", defaults.slot),
        zone=pairs.integer("az", defaults.zone),
        tick_us=pairs.integer("period_us", defaults.tick_us),
        classes=classes or defaults.classes,
        tenants=tenants,
        kinds=tuple(filter(None, pairs.values.get("kinds", "").split(","))),
        weighted=pairs.one_of("weights", WEIGHT_MODES, False),
        ask_for_list=pairs.one_of("registry_mode", {"push": False, "ask": True}, False),
        pass_through=pairs.one_of("extra.mode", {"proxy": False, "pass": True}, False),
        tells_delay=pairs.flag("extra.tells_delay"),
        park_us=pairs.integer("extra.park_us", defaults.park_us),
        over_share_worth=pairs.number("over_share_worth", defaults.over_share_worth, max_value=1.0),
        cold_share=pairs.number("invariants.cold_share", defaults.cold_share, max_value=1.0),
        cold_us=max(1, pairs.integer("invariants.cold_us", defaults.cold_us)),
        fall_multiple=pairs.number("invariants.fall_multiple", defaults.fall_multiple),
        fall_us=pairs.integer("invariants.fall_us", defaults.fall_us),
        drain_grace_us=pairs.integer("invariants.stop_sending_within_us", defaults.drain_grace_us),
        answer_slack_us=pairs.integer("invariants.answer_slack_us", defaults.answer_slack_us),
        ask_within_us=pairs.integer("invariants.ask_within_us", defaults.ask_within_us),
        max_attempts=pairs.integer("ceilings.max_attempts", defaults.max_attempts, 1),
        spare_attempts=pairs.number("invariants.spare_attempts", defaults.spare_attempts),
        extra_per_request=pairs.number("invariants.extra_per_request", defaults.extra_per_request),
        look_back_us=pairs.integer("invariants.look_back_us", defaults.look_back_us),
        connect_timeout_us=pairs.integer("ceilings.connect_timeout_us", defaults.connect_timeout_us, 1),
        max_retry_after_us=pairs.integer("ceilings.max_retry_after_us", defaults.max_retry_after_us),
        may_retry_after=pairs.flag("ceilings.retry_after"),
        may_cancel=pairs.flag("ceilings.cancel"),
        may_probe=pairs.flag("ceilings.probes"),
        may_tell_peers=pairs.flag("ceilings.peers"),
        may_send_copies=pairs.flag("ceilings.second_copies"),
    )


# ---- events ------------------------------------------------------------------------------------


def _request(
    number: int, expires: int, key: int, group: int, flags: int, request_class: int, tenant: int, load: int
) -> interface.Request:
    return interface.Request(
        request=number,
        expires_in_us=expires,
        key=key,
        group=group,
        request_class=request_class,
        tenant=tenant,
        load_us=load if flags & 1 else None,
        client_retry=bool(flags & 2),
        mid_flow=bool(flags & 8),
        returning=bool(flags & 16),
    )


def _report(body: bytes, offset: int, count: int) -> tuple[float, ...]:
    return struct.unpack_from(f">{count}f", body, offset)


def _read_list(body: bytes) -> interface.ServerList | None:
    _, kind, version, count = SERVER_LIST.unpack_from(body)
    if len(body) < SERVER_LIST.size + count * LIST_ENTRY.size:
        raise BrokenFrame("a server list is shorter than its count says")
    if kind not in LIST_KINDS:
        return None
    lines = []
    for n in range(count):
        server, zone, server_kind, cell, state, weight, started = LIST_ENTRY.unpack_from(
            body, SERVER_LIST.size + n * LIST_ENTRY.size
        )
        if state in STATES:
            lines.append(
                interface.ListedServer(server, STATES[state], weight, zone, server_kind, cell, started)
            )
    return interface.ServerList(LIST_KINDS[kind], version, tuple(lines))


def _read_event(code: int, body: bytes) -> Incoming | None:
    if code == 10:
        _, seed, size = POWER_ON.unpack_from(body)
        text = body[POWER_ON.size : POWER_ON.size + size]
        if len(text) < size:
            raise BrokenFrame("the settings are cut short")
        return PowerOn(seed, read_settings(text.decode("utf-8", "replace")))
    if code == 20:
        return _read_list(body)
    if code == 30:
        _, number, expires, key, group, flags, request_class, tenant, load = REQUEST.unpack_from(body)
        return _request(number, expires, key, group, flags, request_class, tenant, load)
    if code == 40:
        _, number, attempt, elapsed, server = ESTABLISHED.unpack_from(body)
        return interface.Established(number, attempt, server, elapsed)
    if code == 50:
        _, number, attempt, server, status, elapsed, done, count = ANSWER.unpack_from(body)
        outcome = OUTCOMES.get(status, interface.Outcome.UNKNOWN)
        report = _report(body, ANSWER.size, count)
        return interface.Answer(number, attempt, server, outcome, elapsed, bool(done), report)
    if code == 60:
        return interface.ClientLeft(ID_U64.unpack_from(body)[1])
    if code == 70:
        return interface.Timer(ID_U64.unpack_from(body)[1])
    if code == 80:
        _, status, elapsed, server, count = PROBE_RESULT.unpack_from(body)
        report = _report(body, PROBE_RESULT.size, count)
        return interface.ProbeResult(server, OUTCOMES.get(status, interface.Outcome.UNKNOWN), elapsed, report)
    if code == 90:
        _, sender, size = PEER_MESSAGE.unpack_from(body)
        return interface.PeerMessage(sender, body[PEER_MESSAGE.size : PEER_MESSAGE.size + size])
    if code == 100:
        return Kill()
    if code == 110:
        _, number, request_class, tenant, key, expires, load, group, flags, server = EXISTING.unpack_from(
            body
        )
        return interface.Existing(
            _request(number, expires, key, group, flags, request_class, tenant, load), server
        )
    if code == 120:
        _, number, attempt, server, kind, amount = NOTICE.unpack_from(body)
        return interface.Notice(
            number, attempt, server, NOTICE_KINDS.get(kind, interface.NoticeKind.UNKNOWN), amount
        )
    return None


def read_batch(frame: bytes) -> tuple[int, list[tuple[int, Incoming]]]:
    """Returns the clock (us) and, for each record, its instance and event.

    Records of unknown codes are ignored. Raises BrokenFrame if the frame is malformed.
    """
    try:
        now, count = BATCH_HEADER.unpack_from(frame)
        offset, events = BATCH_HEADER.size, []
        for _ in range(count):
            code, size = RECORD_HEADER.unpack_from(frame, offset)
            offset += RECORD_HEADER.size
            body = frame[offset : offset + size]
            if len(body) < size:
                raise BrokenFrame("a record is longer than its frame")
            offset += size
            event = _read_event(code, body)
            if event is not None:
                events.append((ID.unpack_from(body)[0], event))
    except struct.error as error:
        raise BrokenFrame(f"a record is too short: {error}") from error
    if offset != len(frame):
        raise BrokenFrame("a frame is longer than its records")
    return now, events


# ---- actions -----------------------------------------------------------------------------------


def _record(code: int, body: bytes) -> bytes:
    return RECORD_HEADER.pack(code, len(body)) + body


def _text(instance: int, text: str) -> bytes:
    data = text.encode()[:0xFFFF]
    return struct.pack(">IH", instance, len(data)) + data


def write_fatal(instance: int, text: str) -> bytes:
    """Returns the record that reports the failure of an instance."""
    return _record(10, _text(instance, text))


def write_action(instance: int, action: interface.Action) -> bytes:
    """Returns the record of an action."""
    match action:
        case interface.Attempt(request, server, timeout, _):  # the simulator sends at once
            return _record(120, struct.pack(">IQII", instance, request, server, max(1, timeout)))
        case interface.SetTimer(delay, token):
            return _record(60, struct.pack(">IIQ", instance, min(max(delay, 0), MAX_DELAY_US), token))
        case interface.Refuse(request, retry_after_us):
            return _record(40, struct.pack(">IQI", instance, request, retry_after_us))
        case interface.Fail(request):
            return _record(110, ID_U64.pack(instance, request))
        case interface.Cancel(request, attempt):
            return _record(70, struct.pack(">IQB", instance, request, attempt))
        case interface.Move(request):
            return _record(50, ID_U64.pack(instance, request))
        case interface.Log(text):
            return _record(90, _text(instance, text))
        case interface.Subscribe(on):
            return _record(80, struct.pack(">IB", instance, on))
        case interface.FetchList():
            return _record(20, ID.pack(instance))
        case interface.Probe(server):
            return _record(130, struct.pack(">II", instance, server))
        case interface.CloseIdle(server):
            return _record(30, struct.pack(">II", instance, server))
        case interface.Tell(peer, data):
            receiver = 0xFFFFFFFF if peer is None else peer
            return _record(100, struct.pack(">IIH", instance, receiver, len(data)) + data)


def write_reply(number: int, records: list[bytes]) -> bytes:
    """Returns the reply to the batch of this number."""
    body = b"".join(records)
    return struct.pack(">III", number, len(records), len(body)) + body
