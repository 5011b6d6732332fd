"""Parsing of the header fields in which a parent describes itself, without I/O."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from glenfold.rules.replication import (
    AGE_FIELD,
    CHILDREN_FIELD,
    INCARNATION_FIELD,
    VIA_FIELD,
    VIA_PROTOCOL,
)

RETRY_AFTER_FIELD = "Retry-After"
MAX_HOPS = 16  # A chain from the source to a child has at most this many replicas.
MAX_NUMBER = 1 << 63  # Incarnations and counts in a header field are less than this.


class ParentHeaderError(Exception):
    """Raised when a header field of a replica can't be parsed."""


@dataclass(frozen=True, slots=True)
class ParentHeader:
    """The header fields of one response.

    `via` names the replicas from the source to the parent, none if that is the source. `incarnation` and
    `retry_after_s` are None if not given. `age_s` is infinite if the source never renewed a replica.
    """

    via: tuple[str, ...] = ()
    incarnation: int | None = None
    age_s: float = 0.0
    children: int = 0
    retry_after_s: float | None = None

    @property
    def is_source(self) -> bool:
        return not self.via


def read_parent_header(fields: Iterable[tuple[bytes, bytes]]) -> ParentHeader:
    """Parses the header fields, whose names are case-insensitive. Raises ParentHeaderError."""
    values: dict[str, str] = {}
    for name, value in fields:
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        values[key] = f"{values[key]}, {text}" if key in values else text
    via = _via(values.get(VIA_FIELD.lower(), ""))
    incarnation = _integer(values, INCARNATION_FIELD)
    if via and incarnation is None:
        incarnation = 0
    age_s = _seconds(values, AGE_FIELD)
    if age_s is None:
        age_s = math.inf if via else 0.0
    return ParentHeader(
        via=via,
        incarnation=incarnation,
        age_s=age_s,
        children=_integer(values, CHILDREN_FIELD) or 0,
        retry_after_s=_retry_after(values),
    )


def _via(text: str) -> tuple[str, ...]:
    if not text.strip():
        return ()
    names = []
    for hop in text.split(","):
        protocol, _, name = hop.strip().partition(" ")
        if protocol != VIA_PROTOCOL or not name.strip():
            raise ParentHeaderError(f"{VIA_FIELD}: {text[:80]!r} is not a chain of replicas")
        names.append(name.strip())
    if len(names) > MAX_HOPS:
        raise ParentHeaderError(f"{VIA_FIELD}: {len(names)} replicas; at most {MAX_HOPS}")
    return tuple(names)


def _integer(values: dict[str, str], field: str) -> int | None:
    text = values.get(field.lower())
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < 20 and int(text) < MAX_NUMBER):
        raise ParentHeaderError(f"{field}: {text[:40]!r} is not a whole number below 2**63")
    return int(text)


def _seconds(values: dict[str, str], field: str) -> float | None:
    text = values.get(field.lower())
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError as error:
        raise ParentHeaderError(f"{field}: {text[:40]!r} is not a number of seconds") from error
    if not 0.0 <= seconds < math.inf:
        raise ParentHeaderError(f"{field}: {text[:40]!r} is not a number of seconds")
    return seconds


def _retry_after(values: dict[str, str]) -> float | None:
    """Returns the delay of a Retry-After field in seconds; None for its other form, a date."""
    text = values.get(RETRY_AFTER_FIELD.lower(), "")
    return float(text) if text.isascii() and text.isdigit() and len(text) < 20 else None
