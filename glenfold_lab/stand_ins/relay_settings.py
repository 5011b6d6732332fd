"""The settings of a real relay for a scenario, as JSON with the names of the simulator's first message.

`glenfold_lab.model.relay_settings` makes the same settings for a relay of the model.
"""

from typing import Any

from glenfold_lab.model.fleet import HistoryParameters
from glenfold_lab.model.relay_settings import make_settings
from glenfold_lab.spec import Scenario

SEMANTICS = {"REPEATABLE": "repeatable", "BY_KEY": "by_key", "ONCE": "once"}


def settings_json(scenario: Scenario, terms: HistoryParameters, slot: int, zone: int) -> dict[str, Any]:
    """Returns the settings of a relay. `slot` is its number, `zone` the index of its zone."""
    settings = make_settings(scenario, terms, slot, zone)
    classes = [
        {
            "name": kind.name,
            "aim_us": options.aim_us,
            "hard_limit_us": options.deadline_us,
            "worth": options.worth,
            "semantics": SEMANTICS[options.semantics.name],
            "window_us": options.window_us,
            "streaming": True,
        }
        for kind, options in zip(scenario.classes, settings.classes, strict=True)
    ]
    accounts = [
        {"name": scheme.name, "portion": tenant.portion, "quota_per_s": tenant.quota_per_s}
        for scheme, tenant in zip(scenario.schemes, settings.tenants, strict=True)
    ]
    return {
        "classes": classes,
        "accounts": accounts,
        "areas": list(scenario.zones.names),
        "az": zone,
        "kinds": list(settings.kinds),
        "replicas_of_me": settings.gateways,
        "slot_no": slot,
        "period_us": settings.tick_us,
        "weights": "rough" if settings.weighted else "none",
        "over_share_worth": settings.over_share_worth,
        "registry_mode": "push",
        "ceilings": {
            "max_attempts": settings.max_attempts,
            "connect_timeout_us": settings.connect_timeout_us,
            "max_retry_after_us": settings.max_retry_after_us,
            "retry_after": settings.may_retry_after,
            "cancel": settings.may_cancel,
            "probes": settings.may_probe,
            "peers": settings.may_tell_peers,
            "second_copies": settings.may_send_copies,
        },
        "invariants": {
            "cold_share": settings.cold_share,
            "cold_us": settings.cold_us,
            "fall_multiple": settings.fall_multiple,
            "fall_us": settings.fall_us,
            "stop_sending_within_us": settings.drain_grace_us,
            "answer_slack_us": settings.answer_slack_us,
            "ask_within_us": settings.ask_within_us,
        },
        "extra": {
            "mode": "pass" if settings.pass_through else "proxy",
            "park_us": settings.park_us,
            "message_aim_us": [options.message_aim_us for options in settings.classes],
            "tenant_quota_connections": [tenant.quota_connections for tenant in settings.tenants],
            "groups": scenario.clients.groups,
            "tells_load": True,
            "tells_delay": False,
        },
        "clients": {"marks_retry": scenario.clients.marks_retry},
    }
