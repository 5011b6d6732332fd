"""What the platform tells a real relay of a scenario: its settings as JSON, with the names of the simulator's
first message. `glenfold_lab.model.relay_settings` tells a relay of the model the same."""

from typing import Any

from glenfold_lab.model.fleet import HistoryParameters
from glenfold_lab.model.relay_settings import make_settings
from glenfold_lab.spec import Scenario

SEMANTICS = {"REPEATABLE": "repeatable", "BY_KEY": "by_key", "ONCE": "once"}


def settings_json(scenario: Scenario, terms: HistoryParameters, slot: int, zone: int) -> dict[str, Any]:
    """`slot`: the relay's number; `zone`: the place of its zone."""
    told = make_settings(scenario, terms, slot, zone)
    classes = [
        {
            "name": kind.name,
            "aim_us": one.aim_us,
            "hard_limit_us": one.deadline_us,
            "worth": one.worth,
            "semantics": SEMANTICS[one.semantics.name],
            "window_us": one.window_us,
            "streaming": True,
        }
        for kind, one in zip(scenario.classes, told.classes, strict=True)
    ]
    accounts = [
        {"name": scheme.name, "portion": tenant.portion, "quota_per_s": tenant.quota_per_s}
        for scheme, tenant in zip(scenario.schemes, told.tenants, strict=True)
    ]
    return {
        "classes": classes,
        "accounts": accounts,
        "areas": list(scenario.zones.names),
        "az": zone,
        "kinds": list(told.kinds),
        "replicas_of_me": told.gateways,
        "slot_no": slot,
        "period_us": told.tick_us,
        "weights": "rough" if told.weighted else "none",
        "over_share_worth": told.over_share_worth,
        "registry_mode": "push",
        "ceilings": {
            "max_attempts": told.max_attempts,
            "connect_timeout_us": told.connect_timeout_us,
            "max_retry_after_us": told.max_retry_after_us,
            "retry_after": told.may_retry_after,
            "cancel": told.may_cancel,
            "probes": told.may_probe,
            "peers": told.may_tell_peers,
            "second_copies": told.may_send_copies,
        },
        "invariants": {
            "cold_share": told.cold_share,
            "cold_us": told.cold_us,
            "fall_multiple": told.fall_multiple,
            "fall_us": told.fall_us,
            "stop_sending_within_us": told.drain_grace_us,
            "answer_slack_us": told.answer_slack_us,
            "ask_within_us": told.ask_within_us,
        },
        "extra": {
            "mode": "pass" if told.pass_through else "proxy",
            "park_us": told.park_us,
            "message_aim_us": [one.message_aim_us for one in told.classes],
            "tenant_quota_connections": [tenant.quota_connections for tenant in told.tenants],
            "groups": scenario.clients.groups,
            "tells_load": True,
            "tells_delay": False,
        },
        "clients": {"marks_retry": scenario.clients.marks_retry},
    }
