"""The file of a control replica: read whole and checked whole, as the operators' file is.

docs/operators/replica.md tells what each key does.
"""

import re
import resource
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta

from glenfold.config.platform import Address, Parent, read_address
from glenfold.config.tables import FileErrors, Reading, Table, read_file
from glenfold.config.terms import AddressText, Length, ListParent, Logging, Name
from glenfold.located import Key

MB = 1 << 20
NAME = re.compile(r"[A-Za-z0-9][\w.-]*", re.ASCII)  # also in a Via header field
SPARE_DESCRIPTORS = 64  # for the listener, the log, the parents, and those being refused
AT_ONCE = ("parents", "logging")  # not to wait for a restart

Found = Iterator[tuple[Key, str]]


class Replica(Table, frozen=True):
    name: Name
    listen: AddressText
    zone: Name | None = None
    region: Name | None = None


class Limits(Table, frozen=True):
    children: Annotated[int, Meta(ge=1, le=65_536)] = 4096
    idle_connections: Annotated[int, Meta(ge=1, le=65_536)] = 4096
    idle_s: Length = 10.0
    blocked_s: Length = 5.0
    history_revisions: Annotated[int, Meta(ge=1, le=1_000_000)] = 4096
    history_mb: Annotated[float, Meta(ge=0.01, le=1024)] = 16.0
    whole_lists_at_once: Annotated[int, Meta(ge=1, le=1024)] = 32
    whole_lists_mb_per_s: Annotated[float, Meta(ge=0.01, le=10_000)] = 20.0


class Shutdown(Table, frozen=True):
    spread_s: Annotated[float, Meta(ge=0, le=600)] = 5.0


class Terms(Table, frozen=True):
    format: Literal[1]
    replica: Replica
    parents: Annotated[tuple[ListParent, ...], Meta(min_length=1, max_length=64)]
    limits: Limits = Limits()
    shutdown: Shutdown = Shutdown()
    logging: Logging = Logging()

    @property
    def listen(self) -> Address:
        return read_address(self.replica.listen)

    @property
    def followed(self) -> tuple[Parent, ...]:
        return tuple(one.parent for one in self.parents)


def read(path: str | Path) -> Terms:
    """Raises Faults: all that is amiss with the file, and with this machine for it."""
    reading, terms = read_file(path, Terms)
    for check in (_name, _addresses, _descriptors):
        for key, reason in check(terms, reading):
            reading.fault(key, reason)
    if reading.faults:
        raise FileErrors(reading.faults.values())
    return terms


def tables_needing_restart(begun: Terms, now: Terms) -> list[str]:
    """The tables that have changed and need a restart."""
    return [
        name
        for name in Terms.__struct_fields__
        if name not in AT_ONCE and getattr(begun, name) != getattr(now, name)
    ]


def _name(terms: Terms, reading: Reading) -> Found:
    key = ("replica", "name")
    if reading.sound(key) and not NAME.fullmatch(terms.replica.name):
        name = terms.replica.name
        yield key, f"{name!r} is not letters, digits, '.', '_' and '-', the first a letter or digit"


def _addresses(terms: Terms, reading: Reading) -> Found:
    """The replica's own address is none of a parent."""
    places: list[tuple[Key, str]] = []
    if reading.sound(("replica", "listen")):
        places.append((("replica", "listen"), terms.replica.listen))
    if reading.sound(("parents",)):
        places += [(("parents", n, "address"), one.address) for n, one in enumerate(terms.parents)]
    taken: dict[Address, Key] = {}
    for key, text in places:
        try:
            address = read_address(text)
        except ValueError as error:
            yield key, str(error)
            continue
        if address not in taken:
            taken[address] = key
        elif taken[address] == ("replica", "listen"):
            yield key, f"{text} is where this replica itself listens"
        else:
            yield key, f"{text} stands there twice"


def _descriptors(terms: Terms, reading: Reading) -> Found:
    keys: tuple[Key, ...] = (("limits", "children"), ("limits", "idle_connections"))
    if not reading.sound(*keys):
        return
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if resource.RLIM_INFINITY != most < descriptors_needed(terms.limits):
        yield (
            ("limits", "children"),
            (
                f"with limits.idle_connections needs {descriptors_needed(terms.limits)} open files, and "
                f"this user may have {most}; lower it, or raise that (ulimit -Hn)"
            ),
        )


def descriptors_needed(limits: Limits) -> int:
    """Open files that a replica needs."""
    return limits.children + limits.idle_connections + SPARE_DESCRIPTORS
