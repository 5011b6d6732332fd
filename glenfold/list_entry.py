"""One entry of a server list, as discovery sends it: typed values, or an error that says what is wrong."""

import hashlib
import math
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from glenfold.config import Address, read_address
from linnetspread.interface import ServerState

STATES = {
    "in_service": ServerState.READY,
    "terminating": ServerState.DRAINING,
    "terminated": ServerState.GONE,
}
HEALTH = {state: health for health, state in STATES.items()}

# The largest whole number in a list. Snapshots and replicas can hold it, and sums of such numbers stay exact.
MAX_WHOLE_NUMBER = (1 << 63) - 1
MAX_BORN_MS = MAX_WHOLE_NUMBER // 1000  # the decisions count in microseconds
MAX_SHARE = 1e12  # shares are relative to each other; sums and products of such shares stay finite


class BadEntry(Exception):
    """Raised when an entry, or a number of a list, is not what the protocol describes."""


@dataclass(frozen=True, slots=True)
class ListEntry:
    """One server as a list describes it. `site` and `kind` are None where they are not given."""

    host: str
    address: Address
    state: ServerState
    share: float
    site: str | None
    kind: str | None
    cell: int
    started_us: int


def server_number(host: str) -> int:
    """Returns the number of a server, derived from its host name alone.

    It is the same at every relay and in every process, in whatever order servers appear, because all relays
    must place connections by the same map.
    """
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=4).digest())


def read_host(entry: object) -> str:
    """Returns the host name of an entry. Raises BadEntry if it has none that can be used."""
    if not isinstance(entry, Mapping):
        raise BadEntry("it is not an object")
    host = _text(entry, "host")
    if not host:
        raise BadEntry("it has no host")
    return host


def read_entry(entry: object) -> ListEntry:
    """Reads an entry. Raises BadEntry."""
    host = read_host(entry)
    assert isinstance(entry, Mapping)  # or else it would have no host
    return ListEntry(
        host,
        _address(entry),
        _state(entry),
        _share(entry),
        _interned(entry, "site"),
        _interned(entry, "class"),
        whole_number(entry.get("block", 0), "block"),
        whole_number(entry.get("born_ms", 0), "born_ms", MAX_BORN_MS) * 1000,
    )


def whole_number(value: Any, key: str, maximum: int = MAX_WHOLE_NUMBER) -> int:
    """Returns the value of `key` as a whole number from 0 to `maximum`. Raises BadEntry."""
    try:
        number = int(value)
    except (TypeError, ValueError, OverflowError):  # also infinity and NaN, and text with too many digits
        raise BadEntry(f"its {key} is not a whole number") from None
    if not 0 <= number <= maximum:
        raise BadEntry(f"its {key} is not from 0 to {maximum}")
    return number


def _address(entry: Mapping[str, Any]) -> Address:
    dial = entry.get("dial")
    if not isinstance(dial, str):
        raise BadEntry("its dial is not a text")
    try:
        return read_address(dial)
    except ValueError as error:
        raise BadEntry(f"its dial {error}") from None


def _state(entry: Mapping[str, Any]) -> ServerState:
    health = entry.get("health")
    state = STATES.get(health) if isinstance(health, str) else None
    if state is None:
        raise BadEntry(f"its health is not one of {', '.join(STATES)}")
    return state


def _share(entry: Mapping[str, Any]) -> float:
    try:
        share = float(entry.get("share", 1.0))
    except (TypeError, ValueError, OverflowError):
        raise BadEntry("its share is not a number") from None
    if not math.isfinite(share) or abs(share) > MAX_SHARE:
        raise BadEntry(f"its share is not within {MAX_SHARE:g}")
    return share


def _interned(entry: Mapping[str, Any], key: str) -> str | None:
    """Returns the name under `key`, interned, as few names occur in many entries; None if there is none."""
    name = _text(entry, key)
    return None if name is None else sys.intern(name)


def _text(entry: Mapping[str, Any], key: str) -> str | None:
    text = entry.get(key)
    if text is None:
        return None
    if not isinstance(text, str):
        raise BadEntry(f"its {key} is not a text")
    try:
        text.encode()  # half of a surrogate pair is no text outside of JSON
    except UnicodeEncodeError:
        raise BadEntry(f"its {key} has characters that can't be encoded") from None
    return text
