"""The location of each instance of an operators' file: its name, its addresses and its files."""

import os
from collections.abc import Iterator
from dataclasses import dataclass
from ipaddress import AddressValueError, IPv4Address
from pathlib import Path

from glenfold.config.address import Address, read_address
from glenfold.config.terms import Terms
from glenfold.toml_file import Key

MAX_SOCKET_PATH_BYTES = 107  # The kernel's limit on the path of a Unix socket.


@dataclass(frozen=True, slots=True)
class InstanceLocation:
    """The name, the addresses and the files of one instance.

    `number` counts from 1 in a fleet and is None for the only instance of a file without a fleet. `folder`
    holds the files of all instances, each file named after its instance; `snapshots` is shared by all
    instances too. `folder`, `socket` and `snapshots` are None where the instance has none.
    """

    number: int | None
    name: str
    listeners: tuple[Address, ...]
    folder: Path | None
    socket: Path | None
    snapshots: Path | None


def instance_numbers(terms: Terms) -> tuple[int | None, ...]:
    """Returns the numbers of all instances: 1 and up in a fleet, None for the only instance without one."""
    return (None,) if terms.fleet is None else tuple(range(1, terms.fleet.instances + 1))


def configured_listeners(terms: Terms, number: int | None) -> Iterator[tuple[Key, str, int]]:
    """Yields each listener of an instance: its key in the file, its text and the step added to its port."""
    own_addresses = terms.fleet.addresses if terms.fleet else None
    if number is not None and own_addresses is not None:
        for n, text in enumerate(own_addresses[number - 1] if number <= len(own_addresses) else ()):
            yield ("fleet", "addresses", number - 1, n), text, 0
    else:
        step = 0 if terms.fleet is None or number is None else terms.fleet.port_step * (number - 1)
        for n, text in enumerate(terms.listeners.addresses or ()):
            yield ("listeners", "addresses", n), text, step


def listen_address(text: str, step: int) -> Address:
    """Returns the address to listen on. Raises ValueError, whose message says what would be right."""
    host, port = read_address(text)
    try:
        IPv4Address(host)
    except AddressValueError:
        raise ValueError(f"{host!r} is not an IPv4 address, such as 127.0.0.1 (0.0.0.0: all)") from None
    if port + step > 65535:
        raise ValueError(f"with fleet.port_step the last port would be {port + step}; 65535 is the highest")
    return host, port + step


def locate(terms: Terms, base: Path, number: int | None) -> InstanceLocation:
    """Returns the location of an instance; `base` is the folder that relative paths start from."""
    folder = None if terms.instance.folder is None else base / terms.instance.folder
    name = terms.instance.name if number is None else f"{terms.instance.name}-{number}"
    listeners = tuple(listen_address(text, step) for _, text, step in configured_listeners(terms, number))
    return InstanceLocation(
        number, name, listeners, folder, socket_path(terms, base, name), snapshots_path(terms, base)
    )


def socket_path(terms: Terms, base: Path, name: str) -> Path | None:
    """Returns the path of the control socket of the instance `name`, or None if it has none."""
    if not terms.control.on:
        return None
    if terms.control.socket is not None:
        return base / terms.control.socket.replace("{name}", name)
    return None if terms.instance.folder is None else base / terms.instance.folder / f"{name}.sock"


def snapshots_path(terms: Terms, base: Path) -> Path | None:
    """Returns the folder of the snapshots that all instances share, or None if none are kept."""
    if not terms.snapshot.on:
        return None
    if terms.snapshot.folder is not None:
        return base / terms.snapshot.folder
    return None if terms.instance.folder is None else base / terms.instance.folder / "snapshots"


def why_unwritable(folder: Path) -> str | None:
    """Returns why no file can be created in `folder`, or None if one can.

    A folder that does not exist may be created later, so its nearest existing parent is checked.
    """
    existing = folder
    while not os.path.lexists(existing) and existing != existing.parent:
        existing = existing.parent
    if not existing.is_dir():
        return f"{existing} is not a folder; give one that this user can write to"
    if not os.access(existing, os.W_OK | os.X_OK):
        return f"{existing} can't be written by this user ({os.geteuid()}); give a folder that can be written"
    return None
