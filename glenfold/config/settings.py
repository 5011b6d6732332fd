"""What an operators' file tells the decisions, as the platform's `settings` object says it."""

from typing import Any

from glenfold.config.terms import RequestClass, Rules, Tenant, Terms


def as_platform(terms: Terms) -> dict[str, Any]:
    """With the platform's names and units."""
    told, rules = terms.settings, terms.settings.rules
    return {
        "classes": [_class(kind) for kind in told.classes],
        "accounts": [_tenant(tenant) for tenant in told.tenants],
        "areas": list(told.zones),
        "az": told.zones.index(told.zone) if told.zone is not None else 0,
        "kinds": list(told.kinds),
        "replicas_of_me": relays(terms),
        "period_us": _us(rules.tick_ms),
        "weights": "nominal" if rules.weighted else "none",
        "over_share_worth": rules.over_share_worth,
        "ceilings": _ceilings(rules),
        "invariants": _invariants(rules),
        "extra": {
            "mode": "pass" if rules.pass_through else "proxy",
            "message_aim_us": [_us(kind.message_aim_ms) for kind in told.classes],
            "tenant_quota_connections": [tenant.quota_connections for tenant in told.tenants],
        },
    }


def relays(terms: Terms) -> int:
    """That share the clients of all tenants."""
    if terms.settings.rules.relays is not None:
        return terms.settings.rules.relays
    return terms.fleet.instances if terms.fleet else 1


def _us(milliseconds: float) -> int:
    return round(milliseconds * 1000)


def _class(kind: RequestClass) -> dict[str, Any]:
    return {
        "name": kind.name,
        "hard_limit_us": _us(kind.deadline_ms),
        "semantics": kind.semantics,
        "group": kind.dedup,
        "window_us": _us(kind.window_ms),
        "worth": kind.worth,
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
