"""Listening sockets from the service manager (LISTEN_FDS) or an old process, matched to the configuration."""

import os
import socket
from collections.abc import Iterable, MutableMapping, Sequence
from dataclasses import dataclass

import trio

from glenfold.config.address import Address, format_address
from glenfold.net.inbound import LISTEN_BACKLOG

FIRST_PASSED_DESCRIPTOR = 3  # The descriptors 0 to 2 are the standard streams.
MAX_PASSED_SOCKETS = 64
VARIABLES = ("LISTEN_FDS", "LISTEN_PID", "LISTEN_FDNAMES")


class BadListener(Exception):
    """Raised when a passed descriptor is not a usable listener, or an address can't be listened at.

    The text names the descriptor or the address.
    """


def addresses_of(listeners: Iterable[socket.socket]) -> list[str]:
    """Returns the addresses of the sockets as HOST:PORT."""
    return [format_address(sock.getsockname()) for sock in listeners]


async def resolve(addresses: Iterable[Address]) -> list[str]:
    """Returns the addresses as HOST:PORT with resolved hosts, as in getsockname. Raises BadListener."""
    found = []
    for host, port in addresses:
        try:
            infos = await trio.socket.getaddrinfo(host, port, socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            raise BadListener(f"{host}:{port}: {error.strerror or error}") from error
        found.append(format_address((str(infos[0][4][0]), int(infos[0][4][1]))))
    return found


def listen(address: str) -> socket.socket:
    """Returns a socket that listens at the address.

    Calls listen at once: with SO_REUSEADDR, only that fails if another process listens at the address.
    Raises BadListener.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, int(port)))
        sock.listen(LISTEN_BACKLOG)
    except OSError as error:
        sock.close()
        raise BadListener(f"{address}: {error.strerror or error}") from error
    return sock


@dataclass(frozen=True, slots=True)
class Reconciled:
    """Listeners matched to the wanted addresses.

    `kept` were passed and are wanted, `opened` are wanted and were not passed, `closed` holds the addresses
    that were passed and are not wanted.
    """

    kept: list[socket.socket]
    opened: list[socket.socket]
    closed: list[str]

    @property
    def all(self) -> list[socket.socket]:
        """All sockets that listen now."""
        return [*self.kept, *self.opened]


def reconcile(passed: Sequence[socket.socket], wanted: Iterable[str]) -> Reconciled:
    """Closes passed sockets that are not wanted, and opens the missing ones.

    If it raises BadListener, all passed and opened sockets are closed.
    """
    unclaimed = {format_address(sock.getsockname()): sock for sock in reversed(passed)}
    kept, opened = [], []
    try:
        for address in dict.fromkeys(wanted):
            if address in unclaimed:
                kept.append(unclaimed.pop(address))
            else:
                opened.append(listen(address))
    except BadListener:
        for sock in (*passed, *opened):
            sock.close()
        raise
    for sock in passed:
        if sock not in kept:
            sock.close()
    return Reconciled(kept, opened, sorted(unclaimed))


def from_environment(environment: MutableMapping[str, str], own_id: int) -> list[socket.socket]:
    """Returns the sockets that the service manager opened for this process, whose id is `own_id`.

    Returns none if LISTEN_PID names another process, such as the parent. Removes the variables, so that no
    child process uses them. Raises BadListener.
    """
    count_text, pid_text, names_text = (environment.pop(name, "") for name in VARIABLES)
    if not count_text or pid_text != str(own_id):
        return []
    if not count_text.isdecimal() or not 0 < int(count_text) <= MAX_PASSED_SOCKETS:
        raise BadListener(f"LISTEN_FDS={count_text!r} is not a number from 1 to {MAX_PASSED_SOCKETS}")
    names = names_text.split(":") if names_text else []
    found: list[socket.socket] = []
    try:
        for index in range(int(count_text)):
            name = names[index] if index < len(names) else "unknown"
            found.append(_checked(FIRST_PASSED_DESCRIPTOR + index, name))
    except BadListener:
        for sock in found:
            sock.close()
        raise
    return found


def _checked(descriptor: int, name: str) -> socket.socket:
    description = f"descriptor {descriptor} ({name})"
    try:
        os.set_inheritable(descriptor, False)
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        raise BadListener(f"{description}: {error.strerror or error}") from error
    try:
        check(sock)
    except BadListener as error:
        sock.close()
        raise BadListener(f"{description} {error}") from None
    return sock


def check(sock: socket.socket) -> None:
    """Raises BadListener unless it is a TCP socket over IPv4 that listens."""
    if sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM:
        raise BadListener("is not a TCP socket over IPv4")
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise BadListener("does not listen")
