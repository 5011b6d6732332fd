"""Converts the settings of an operators' file to the `settings` object of the platform's JSON."""

from typing import Any

from glenfold.config.terms import RequestClass, Rules, Tenant, Terms


def as_platform(terms: Terms) -> dict[str, Any]:
    """Returns the `settings` object with the platform's names and units."""
    settings, rules = terms.settings, terms.settings.rules
    return {
        "classes": [_class(request_class) for request_class in settings.classes],
        "accounts": [_tenant(tenant) for tenant in settings.tenants],
        "areas": list(settings.zones),
        "az": settings.zones.index(settings.zone) if settings.zone is not None else 0,
        "kinds": list(settings.kinds),
        "replicas_of_me": relays(terms),
        "period_us": _us(rules.tick_ms),
        "weights": "nominal" if rules.weighted else "none",
        "over_share_worth": rules.over_share_worth,
        "ceilings": _ceilings(rules),
        "invariants": _invariants(rules),
        "extra": {
            "mode": "pass" if rules.pass_through else "proxy",
            "message_aim_us": [_us(request_class.message_aim_ms) for request_class in settings.classes],
            "tenant_quota_connections": [tenant.quota_connections for tenant in settings.tenants],
        },
    }


def relays(terms: Terms) -> int:
    """Returns the number of relays that share the clients of all tenants."""
    if terms.settings.rules.relays is not None:
        return terms.settings.rules.relays
    return terms.fleet.instances if terms.fleet else 1


def _us(milliseconds: float) -> int:
    return round(milliseconds * 1000)


def _class(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "hard_limit_us": _us(request_class.deadline_ms),
        "semantics": request_class.semantics,
        "group": request_class.dedup,
        "window_us": _us(request_class.window_ms),
        "worth": request_class.worth,
    }


def _tenant(tenant: Tenant) -> dict[str, Any]:
    return {"name": tenant.name, "quota_per_s": tenant.quota_per_s}


def _ceilings(rules: Rules) -> dict[str, Any]:
    return {
        "max_attempts": rules.max_attempts,
        "connect_timeout_us": _us(rules.connect_timeout_ms),
        "max_retry_after_us": _us(rules.max_retry_after_ms),
        "retry_after": rules.max_retry_after_ms > 0,
    }


def _invariants(rules: Rules) -> dict[str, Any]:
    return {
        "cold_share": rules.cold_share,
        "cold_us": _us(1000 * rules.cold_s),
        "fall_multiple": rules.fall_multiple,
        "fall_us": _us(1000 * rules.fall_s),
        "spare_attempts": rules.spare_attempts,
        "extra_per_request": rules.extra_per_request,
        "look_back_us": _us(1000 * rules.look_back_s),
    }
