"""Where each instance of an operators' file is: its name, its addresses, its files."""

import os
from collections.abc import Iterator
from dataclasses import dataclass
from ipaddress import AddressValueError, IPv4Address
from pathlib import Path

from glenfold.config.platform import Address, read_address
from glenfold.config.terms import Terms
from glenfold.located import Key

MOST_SOCKET_PATH = 107  # bytes that the name of a Unix socket may have


@dataclass(frozen=True, slots=True)
class InstanceLocation:
    """Of one instance; None: there is none. `folder` holds its files, each named after it, and those of the
    other instances; `snapshots` too is shared. `number`: 1 and up in a fleet."""

    number: int | None
    name: str
    listeners: tuple[Address, ...]
    folder: Path | None
    socket: Path | None
    snapshots: Path | None


def numbers(terms: Terms) -> tuple[int | None, ...]:
    return (None,) if terms.fleet is None else tuple(range(1, terms.fleet.instances + 1))


def listener_texts(terms: Terms, number: int | None) -> Iterator[tuple[Key, str, int]]:
    """The key that says where it listens, what it says, and what is to be added to that port."""
    own = terms.fleet.addresses if terms.fleet else None
    if number is not None and own is not None:
        for n, text in enumerate(own[number - 1] if number <= len(own) else ()):
            yield ("fleet", "addresses", number - 1, n), text, 0
    else:
        step = 0 if terms.fleet is None or number is None else terms.fleet.port_step * (number - 1)
        for n, text in enumerate(terms.listeners.addresses or ()):
            yield ("listeners", "addresses", n), text, step


def listening(text: str, step: int) -> Address:
    """Raises ValueError, which says what would be right."""
    host, port = read_address(text)
    try:
        IPv4Address(host)
    except AddressValueError:
        raise ValueError(f"{host!r} is not an IPv4 address, such as 127.0.0.1 (0.0.0.0: all)") from None
    if port + step > 65535:
        raise ValueError(f"with fleet.port_step the last port would be {port + step}; 65535 is the highest")
    return host, port + step


def locate(terms: Terms, base: Path, number: int | None) -> InstanceLocation:
    """`base`: what paths are relative to."""
    folder = None if terms.instance.folder is None else base / terms.instance.folder
    name = terms.instance.name if number is None else f"{terms.instance.name}-{number}"
    listeners = tuple(listening(text, step) for _, text, step in listener_texts(terms, number))
    return InstanceLocation(
        number, name, listeners, folder, socket_path(terms, base, name), snapshots_path(terms, base)
    )


def socket_path(terms: Terms, base: Path, name: str) -> Path | None:
    if not terms.control.on:
        return None
    if terms.control.socket is not None:
        return base / terms.control.socket.replace("{name}", name)
    return None if terms.instance.folder is None else base / terms.instance.folder / f"{name}.sock"


def snapshots_path(terms: Terms, base: Path) -> Path | None:
    if not terms.snapshot.on:
        return None
    if terms.snapshot.folder is not None:
        return base / terms.snapshot.folder
    return None if terms.instance.folder is None else base / terms.instance.folder / "snapshots"


def unwritable(folder: Path) -> str | None:
    """Why nothing can be written there; a folder that is missing may be made."""
    at = folder
    while not os.path.lexists(at) and at != at.parent:
        at = at.parent
    if not at.is_dir():
        return f"{at} is no folder; give one that can be written"
    if not os.access(at, os.W_OK | os.X_OK):
        return f"{at} can't be written by this user ({os.geteuid()}); give a folder that can"
    return None
