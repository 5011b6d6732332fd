"""The configuration of a modelled relay: settings of its decisions, limits and speed."""

import math
from dataclasses import dataclass, fields
from typing import Any, TypeVar

from glenfold.config import ConnectionLimits
from glenfold_lab.model.draw import value
from glenfold_lab.model.fleet import HistoryParameters
from glenfold_lab.spec import Relays, RequestClass, Scenario
from glenfold_lab.streams import Streams
from linnetspread import interface

UNLIMITED_SOCKETS = 1 << 30

T = TypeVar("T")


def with_known_fields(kind: type[T], **values: Any) -> T:
    """Creates a `kind` from those values that it has fields for.

    The decision package of another revision may lack some of the settings.
    """
    known = {field.name for field in fields(kind)}  # type: ignore[arg-type]
    return kind(**{name: value for name, value in values.items() if name in known})


def make_settings(
    scenario: Scenario, parameters: HistoryParameters, slot: int, zone: int
) -> interface.Settings:
    """Returns the settings of one relay.

    `tells_delay` stays off, as no line of the protocol reports the delay of a message.
    """
    rules, park_s = scenario.rules, scenario.servers.park_s
    return with_known_fields(
        interface.Settings,
        gateways=scenario.relays.count,
        slot=slot,
        zone=zone,
        classes=tuple(_class(kind) for kind in scenario.classes),
        tenants=_tenants(scenario, parameters),
        kinds=tuple(kind.name for kind in scenario.servers.kinds),
        weighted=True,
        pass_through=scenario.relays.pass_through,
        park_us=_us(park_s[0] if isinstance(park_s, tuple) else park_s, 1e6),
        over_share_worth=rules.over_share_worth,
        cold_share=rules.cold_share,
        cold_us=_us(rules.cold_s, 1e6),
        fall_multiple=rules.fall_multiple,
        fall_us=_us(rules.fall_s, 1e6),
        drain_grace_us=_us(rules.drain_grace_ms),
        answer_slack_us=_us(rules.answer_slack_ms),
        max_attempts=rules.max_attempts,
        connect_timeout_us=_us(rules.connect_timeout_ms),
        max_retry_after_us=_us(rules.max_retry_after_ms),
        may_retry_after=rules.max_retry_after_ms > 0,
        may_cancel=True,
    )


def _us(amount: float, unit: float = 1e3) -> int:
    return int(amount * unit)


def _class(kind: RequestClass) -> interface.RequestClass:
    """Returns the settings of a class. Its requests are repeatable: asking twice is harmless."""
    return interface.RequestClass(
        aim_us=_us(kind.aim_ms),
        deadline_us=_us(kind.deadline_ms),
        worth=kind.worth,
        semantics=interface.Semantics.REPEATABLE,
        message_aim_us=kind.message_aim_ms * 1e3,
    )


def _tenants(scenario: Scenario, parameters: HistoryParameters) -> tuple[interface.Tenant, ...]:
    """Returns a tenant per scheme.

    Its request rate is that at which the connections of its quota end and are replaced.
    """
    return tuple(
        interface.Tenant(scheme.share, quota / parameters.life_us * 1e6, quota)
        for scheme, quota in zip(scenario.schemes, parameters.quotas, strict=True)
    )


@dataclass(frozen=True, slots=True)
class Costs:
    """The CPU cost of each step of a relay on its one core, in microseconds, and its connection limits."""

    accept: int
    call: int
    reply: int
    notice: int
    room: ConnectionLimits

    @classmethod
    def of(cls, relays: Relays, streams: Streams) -> "Costs":
        cores = value(relays.cores, streams.of("relays", "cores"))
        return cls(
            accept=round(relays.accept_us / cores),
            call=round(relays.call_us / cores),
            reply=round(relays.reply_us / cores),
            notice=round(relays.notice_us / cores),
            room=ConnectionLimits.within(relays.sockets or UNLIMITED_SOCKETS, relays.memory_mb or math.inf),
        )
