"""The codec: binary records of the wire to and from the types of interface.py. No decisions here."""

import math
import struct
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeVar

from linnetspread import interface as i

MAX_DELAY_US = 0xFFFFFFFF


class BrokenFrame(Exception):
    """The bytes are not a frame of this wire."""


@dataclass(frozen=True, slots=True)
class PowerOn:
    seed: int
    settings: i.Settings


@dataclass(frozen=True, slots=True)
class Kill:
    pass


Incoming = i.Event | PowerOn | Kill

BATCH = struct.Struct(">QI")
RECORD = struct.Struct(">BI")
LIST = struct.Struct(">IBII")
ENTRY = struct.Struct(">IHBHBfQ")
REQUEST = struct.Struct(">IQIQQBBHI")
EXISTING = struct.Struct(">IQBHQIIQBI")
ESTABLISHED = struct.Struct(">IQBII")
ANSWER = struct.Struct(">IQBIHIBB")
NOTICE = struct.Struct(">IQBIBf")
PROBED = struct.Struct(">IHIIB")
HEARD = struct.Struct(">IIH")
POWER_ON = struct.Struct(">IQI")
ID = struct.Struct(">I")
ID_U64 = struct.Struct(">IQ")

OUTCOMES = {
    10: i.Outcome.OK,
    20: i.Outcome.ERROR,
    30: i.Outcome.FULL,
    40: i.Outcome.TIMEOUT,
    50: i.Outcome.CONNECT_FAILED,
    60: i.Outcome.RESET,
    70: i.Outcome.CANCELLED,
    80: i.Outcome.MOOT,
}
LIST_KINDS = {0: i.ListKind.DELTA, 1: i.ListKind.FULL, 2: i.ListKind.CACHED, 3: i.ListKind.FAILED}
STATES = {0: i.ServerState.GONE, 1: i.ServerState.READY, 2: i.ServerState.DRAINING}
NOTICES = {1: i.NoticeKind.LOAD, 2: i.NoticeKind.SLOW}
SEMANTICS = {
    "repeatable": i.Semantics.REPEATABLE,
    "by_key": i.Semantics.BY_KEY,
    "once": i.Semantics.ONCE,
}
WEIGHTS = {"none": False, "nominal": True, "rough": True, "live": False}
SCOPES = {"all": i.DedupScope.ALL, "zone": i.DedupScope.ZONE, "cell": i.DedupScope.CELL}


# ---- settings ----------------------------------------------------------------------------------


Fault = tuple[str, str]  # a key, and what is amiss with its value
MOST = 1e15  # in whatever unit
FLAGS = {"true": True, "1": True, "false": False, "0": False}
T = TypeVar("T")


class _Pairs:
    """The settings text as a mapping. What is missing takes the default; so does what is no such value, or
    out of its range, and that is put down in `faults`."""

    def __init__(self, text: str, faults: list[Fault]) -> None:
        pairs = (line.split("=", 1) for line in text.splitlines() if "=" in line)
        self.values = {name.strip(): value.strip() for name, value in pairs}
        self.tables = {name[:at] for name in self.values for at, sign in enumerate(name) if sign == "."}
        self.faults = faults

    def _fault(self, name: str, fault: str) -> None:
        if (name, fault) not in self.faults:
            self.faults.append((name, fault))

    def _text(self, name: str) -> str | None:
        for at, sign in enumerate(name):
            if sign == "." and self.values.get(name[:at]):
                self._fault(name[:at], "is not an object")
        if name in self.tables:
            self._fault(name, "is not a single value")
            return None
        return self.values.get(name)

    def _read(self, name: str, text: str, default: float, least: float, most: float) -> float:
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if least <= value <= most:  # nan is not
            return value
        self._fault(name, f"{text[:40]!r} is not a number from {least:g} to {most:g}")
        return default

    def number(self, name: str, default: float, least: float = 0.0, most: float = MOST) -> float:
        text = self._text(name)
        return default if text is None else self._read(name, text, default, least, most)

    def whole(self, name: str, default: int, least: int = 0) -> int:
        return int(self.number(name, default, least))

    def one_of(self, name: str, words: Mapping[str, T], default: T) -> T:
        text = self._text(name)
        if not text or text.lower() in words:
            return words[text.lower()] if text else default
        self._fault(name, f"{text[:40]!r} is not one of {', '.join(words)}")
        return default

    def flag(self, name: str) -> bool:
        return self.one_of(name, FLAGS, False)

    def numbers(self, name: str) -> list[float]:
        texts = filter(None, (self._text(name) or "").split(","))
        return [self._read(f"{name}.{n}", text, 0.0, 0.0, MOST) for n, text in enumerate(texts)]

    def items(self, name: str) -> range:
        """Of a list of objects."""
        if self.values.get(name):
            self._fault(name, "is not a list of objects")
        return range(self.whole(f"{name}.count", 0))

    def needs(self, name: str) -> str:
        if name not in self.values and name not in self.tables:
            self._fault(name, "is missing")
        return name


def _at(values: list[float], index: int) -> float:
    return values[index] if index < len(values) else 0.0


def read_settings(text: str, faults: list[Fault] | None = None) -> i.Settings:
    """Unknown names are passed over; missing ones take the defaults of Settings, as do faulty values, which
    are added to `faults`."""
    pairs, base, plain = _Pairs(text, [] if faults is None else faults), i.Settings(), i.RequestClass()
    aims = pairs.numbers("extra.message_aim_us")
    classes = tuple(
        i.RequestClass(
            aim_us=pairs.whole(f"classes.{n}.aim_us", plain.aim_us),
            deadline_us=pairs.whole(pairs.needs(f"classes.{n}.hard_limit_us"), plain.deadline_us, 1),
            semantics=pairs.one_of(f"classes.{n}.semantics", SEMANTICS, plain.semantics),
            scope=pairs.one_of(f"classes.{n}.group", SCOPES, plain.scope),
            window_us=pairs.whole(f"classes.{n}.window_us", plain.window_us),
            worth=pairs.number(f"classes.{n}.worth", plain.worth),
            message_aim_us=_at(aims, n),
        )
        for n in pairs.items("classes")
    )
    quotas = pairs.numbers("extra.tenant_quota_connections")
    tenants = tuple(
        i.Tenant(
            portion=pairs.number(f"accounts.{n}.portion", 1.0),
            quota_per_s=pairs.number(f"accounts.{n}.quota_per_s", 0.0),
            quota_connections=_at(quotas, n),
        )
        for n in pairs.items("accounts")
    )
    return i.Settings(
        gateways=pairs.whole("replicas_of_me", base.gateways, 1),
        slot=pairs.whole("slot_no", base.slot),
        zone=pairs.whole("az", base.zone),
        tick_us=pairs.whole("period_us", base.tick_us),
        classes=classes or base.classes,
        tenants=tenants,
        kinds=tuple(filter(None, pairs.values.get("kinds", "").split(","))),
        weighted=pairs.one_of("weights", WEIGHTS, False),
        ask_for_list=pairs.one_of("registry_mode", {"push": False, "ask": True}, False),
        pass_through=pairs.one_of("extra.mode", {"proxy": False, "pass": True}, False),
        tells_delay=pairs.flag("extra.tells_delay"),
        park_us=pairs.whole("extra.park_us", base.park_us),
        over_share_worth=pairs.number("over_share_worth", base.over_share_worth, most=1.0),
        cold_share=pairs.number("invariants.cold_share", base.cold_share, most=1.0),
        cold_us=max(1, pairs.whole("invariants.cold_us", base.cold_us)),
        fall_multiple=pairs.number("invariants.fall_multiple", base.fall_multiple),
        fall_us=pairs.whole("invariants.fall_us", base.fall_us),
        drain_grace_us=pairs.whole("invariants.stop_sending_within_us", base.drain_grace_us),
        answer_slack_us=pairs.whole("invariants.answer_slack_us", base.answer_slack_us),
        ask_within_us=pairs.whole("invariants.ask_within_us", base.ask_within_us),
        max_attempts=pairs.whole("ceilings.max_attempts", base.max_attempts, 1),
        spare_attempts=pairs.number("invariants.spare_attempts", base.spare_attempts),
        extra_per_request=pairs.number("invariants.extra_per_request", base.extra_per_request),
        look_back_us=pairs.whole("invariants.look_back_us", base.look_back_us),
        connect_timeout_us=pairs.whole("ceilings.connect_timeout_us", base.connect_timeout_us, 1),
        max_retry_after_us=pairs.whole("ceilings.max_retry_after_us", base.max_retry_after_us),
        may_retry_after=pairs.flag("ceilings.retry_after"),
        may_cancel=pairs.flag("ceilings.cancel"),
        may_probe=pairs.flag("ceilings.probes"),
        may_tell_peers=pairs.flag("ceilings.peers"),
        may_send_copies=pairs.flag("ceilings.second_copies"),
    )


# ---- events ------------------------------------------------------------------------------------


def _request(
    number: int, expires: int, key: int, group: int, bits: int, cls: int, tenant: int, load: int
) -> i.Request:
    return i.Request(
        request=number,
        expires_in_us=expires,
        key=key,
        group=group,
        request_class=cls,
        tenant=tenant,
        load_us=load if bits & 1 else None,
        client_retry=bool(bits & 2),
        mid_flow=bool(bits & 8),
        returning=bool(bits & 16),
    )


def _report(body: bytes, at: int, count: int) -> tuple[float, ...]:
    return struct.unpack_from(f">{count}f", body, at)


def _read_list(body: bytes) -> i.ServerList | None:
    _, how, version, count = LIST.unpack_from(body)
    if len(body) < LIST.size + count * ENTRY.size:
        raise BrokenFrame("a server list is shorter than its count says")
    if how not in LIST_KINDS:
        return None
    lines = []
    for n in range(count):
        server, zone, kind, cell, state, weight, started = ENTRY.unpack_from(body, LIST.size + n * ENTRY.size)
        if state in STATES:
            lines.append(i.ListedServer(server, STATES[state], weight, zone, kind, cell, started))
    return i.ServerList(LIST_KINDS[how], version, tuple(lines))


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
        _, number, expires, key, group, bits, cls, tenant, load = REQUEST.unpack_from(body)
        return _request(number, expires, key, group, bits, cls, tenant, load)
    if code == 40:
        _, number, attempt, elapsed, server = ESTABLISHED.unpack_from(body)
        return i.Established(number, attempt, server, elapsed)
    if code == 50:
        _, number, attempt, server, status, elapsed, done, count = ANSWER.unpack_from(body)
        outcome = OUTCOMES.get(status, i.Outcome.UNKNOWN)
        report = _report(body, ANSWER.size, count)
        return i.Answer(number, attempt, server, outcome, elapsed, bool(done), report)
    if code == 60:
        return i.ClientLeft(ID_U64.unpack_from(body)[1])
    if code == 70:
        return i.Timer(ID_U64.unpack_from(body)[1])
    if code == 80:
        _, status, elapsed, server, count = PROBED.unpack_from(body)
        report = _report(body, PROBED.size, count)
        return i.ProbeResult(server, OUTCOMES.get(status, i.Outcome.UNKNOWN), elapsed, report)
    if code == 90:
        _, sender, size = HEARD.unpack_from(body)
        return i.PeerMessage(sender, body[HEARD.size : HEARD.size + size])
    if code == 100:
        return Kill()
    if code == 110:
        _, number, cls, tenant, key, expires, load, group, bits, server = EXISTING.unpack_from(body)
        return i.Existing(_request(number, expires, key, group, bits, cls, tenant, load), server)
    if code == 120:
        _, number, attempt, server, what, amount = NOTICE.unpack_from(body)
        return i.Notice(number, attempt, server, NOTICES.get(what, i.NoticeKind.UNKNOWN), amount)
    return None


def read_batch(frame: bytes) -> tuple[int, list[tuple[int, Incoming]]]:
    """The clock, and each record's instance and event; records of unknown codes are passed over."""
    try:
        now, count = BATCH.unpack_from(frame)
        at, events = BATCH.size, []
        for _ in range(count):
            code, size = RECORD.unpack_from(frame, at)
            at += RECORD.size
            body = frame[at : at + size]
            if len(body) < size:
                raise BrokenFrame("a record is longer than its frame")
            at += size
            event = _read_event(code, body)
            if event is not None:
                events.append((ID.unpack_from(body)[0], event))
    except struct.error as error:
        raise BrokenFrame(f"a record is too short: {error}") from error
    if at != len(frame):
        raise BrokenFrame("a frame is longer than its records")
    return now, events


# ---- actions -----------------------------------------------------------------------------------


def _record(code: int, body: bytes) -> bytes:
    return RECORD.pack(code, len(body)) + body


def _text(instance: int, text: str) -> bytes:
    data = text.encode()[:0xFFFF]
    return struct.pack(">IH", instance, len(data)) + data


def write_fatal(instance: int, text: str) -> bytes:
    return _record(10, _text(instance, text))


def write_action(instance: int, action: i.Action) -> bytes:
    match action:
        case i.Attempt(request, server, timeout):
            return _record(120, struct.pack(">IQII", instance, request, server, max(1, timeout)))
        case i.SetTimer(delay, token):
            return _record(60, struct.pack(">IIQ", instance, min(max(delay, 0), MAX_DELAY_US), token))
        case i.Refuse(request, wait):
            return _record(40, struct.pack(">IQI", instance, request, wait))
        case i.Fail(request):
            return _record(110, ID_U64.pack(instance, request))
        case i.Cancel(request, attempt):
            return _record(70, struct.pack(">IQB", instance, request, attempt))
        case i.Move(request):
            return _record(50, ID_U64.pack(instance, request))
        case i.Log(text):
            return _record(90, _text(instance, text))
        case i.Subscribe(on):
            return _record(80, struct.pack(">IB", instance, on))
        case i.FetchList():
            return _record(20, ID.pack(instance))
        case i.Probe(server):
            return _record(130, struct.pack(">II", instance, server))
        case i.CloseIdle(server):
            return _record(30, struct.pack(">II", instance, server))
        case i.Tell(peer, data):
            to = 0xFFFFFFFF if peer is None else peer
            return _record(100, struct.pack(">IIH", instance, to, len(data)) + data)


def write_reply(number: int, records: list[bytes]) -> bytes:
    body = b"".join(records)
    return struct.pack(">III", number, len(records), len(body)) + body
