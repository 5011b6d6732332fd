"""The configuration file of a control replica, read and checked as a whole like the operators' file.

docs/operators/replica.md says what each key does.
"""

import re
import resource
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta

from glenfold.config.address import Address, read_address
from glenfold.config.platform import Parent
from glenfold.config.tables import FileErrors, Table, TableReader, read_file
from glenfold.config.terms import AddressText, Duration, ListParent, Logging, Name
from glenfold.toml_file import Key

MB = 1 << 20
NAME_PATTERN = re.compile(r"[A-Za-z0-9][\w.-]*", re.ASCII)  # The name is also sent in a Via header field.
SPARE_DESCRIPTORS = 64  # For the listener, the log, the parents and the connections being refused.
RELOADABLE_TABLES = ("parents", "logging")  # Tables whose changes need no restart.

Problems = Iterator[tuple[Key, str]]  # Pairs of a key and what is wrong with it.


class Replica(Table, frozen=True):
    """The name, the listener and the location of the replica."""

    name: Name
    listen: AddressText
    zone: Name | None = None
    region: Name | None = None


class Limits(Table, frozen=True):
    """Limits on the replica's connections and on the history of revisions that it keeps."""

    children: Annotated[int, Meta(ge=1, le=65_536)] = 4096
    idle_connections: Annotated[int, Meta(ge=1, le=65_536)] = 4096
    idle_s: Duration = 10.0
    blocked_s: Duration = 5.0
    history_revisions: Annotated[int, Meta(ge=1, le=1_000_000)] = 4096
    history_mb: Annotated[float, Meta(ge=0.01, le=1024)] = 16.0
    whole_lists_at_once: Annotated[int, Meta(ge=1, le=1024)] = 32
    whole_lists_mb_per_s: Annotated[float, Meta(ge=0.01, le=10_000)] = 20.0


class Shutdown(Table, frozen=True):
    """How the replica shuts down."""

    spread_s: Annotated[float, Meta(ge=0, le=600)] = 5.0


class Terms(Table, frozen=True):
    """All tables of a control replica's file."""

    format: Literal[1]
    replica: Replica
    parents: Annotated[tuple[ListParent, ...], Meta(min_length=1, max_length=64)]
    limits: Limits = Limits()
    shutdown: Shutdown = Shutdown()
    logging: Logging = Logging()

    @property
    def listen(self) -> Address:
        """The address that the replica listens on."""
        return read_address(self.replica.listen)

    @property
    def followed(self) -> tuple[Parent, ...]:
        """The parents that the replica may follow."""
        return tuple(entry.parent for entry in self.parents)


def read(path: str | Path) -> Terms:
    """Reads and checks a replica's file. Raises FileErrors with all errors, also those of this machine."""
    reader, terms = read_file(path, Terms)
    for check in (_check_name, _check_addresses, _check_descriptors):
        for key, reason in check(terms, reader):
            reader.add_error(key, reason)
    if reader.errors:
        raise FileErrors(reader.errors.values())
    return terms


def tables_needing_restart(started_with: Terms, current: Terms) -> list[str]:
    """Returns the names of the tables that have changed and take effect only after a restart."""
    return [
        name
        for name in Terms.__struct_fields__
        if name not in RELOADABLE_TABLES and getattr(started_with, name) != getattr(current, name)
    ]


def _check_name(terms: Terms, reader: TableReader) -> Problems:
    key = ("replica", "name")
    if reader.is_valid(key) and not NAME_PATTERN.fullmatch(terms.replica.name):
        name = terms.replica.name
        yield key, f"{name!r} is not letters, digits, '.', '_' and '-', the first a letter or digit"


def _check_addresses(terms: Terms, reader: TableReader) -> Problems:
    """Checks that each parent has an address of its own and that none is the replica's own address."""
    addresses: list[tuple[Key, str]] = []
    if reader.is_valid(("replica", "listen")):
        addresses.append((("replica", "listen"), terms.replica.listen))
    if reader.is_valid(("parents",)):
        addresses += [(("parents", n, "address"), entry.address) for n, entry in enumerate(terms.parents)]
    taken: dict[Address, Key] = {}
    for key, text in addresses:
        try:
            address = read_address(text)
        except ValueError as error:
            yield key, str(error)
            continue
        if address not in taken:
            taken[address] = key
        elif taken[address] == ("replica", "listen"):
            yield key, f"{text} is the address that this replica itself listens on"
        else:
            yield key, f"{text} is listed twice"


def _check_descriptors(terms: Terms, reader: TableReader) -> Problems:
    keys: tuple[Key, ...] = (("limits", "children"), ("limits", "idle_connections"))
    if not reader.is_valid(*keys):
        return
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if resource.RLIM_INFINITY != hard_limit < descriptors_needed(terms.limits):
        yield (
            ("limits", "children"),
            (
                f"with limits.idle_connections needs {descriptors_needed(terms.limits)} open files, but this "
                f"user may have at most {hard_limit}; lower it, or raise the limit (ulimit -Hn)"
            ),
        )


def descriptors_needed(limits: Limits) -> int:
    """Returns the number of open files that a replica needs."""
    return limits.children + limits.idle_connections + SPARE_DESCRIPTORS
