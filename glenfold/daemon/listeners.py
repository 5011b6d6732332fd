"""Where listening sockets come from, other than from the configuration alone: from the environment of
whoever started this process (LISTEN_FDS), and sorted by what the configuration asks for."""

import os
import socket
from collections.abc import Iterable, MutableMapping, Sequence
from dataclasses import dataclass

import trio

from glenfold.config.platform import Address, format_address
from glenfold.net.inbound import LISTEN_BACKLOG

FIRST_PASSED = 3  # behind the three standard streams
MOST_PASSED = 64
NAMES = ("LISTEN_FDS", "LISTEN_PID", "LISTEN_FDNAMES")


class BadListener(Exception):
    """What was passed on is not what it should be; or an address can't be had. Names the one at fault."""


def where(listeners: Iterable[socket.socket]) -> list[str]:
    return [format_address(sock.getsockname()) for sock in listeners]


async def resolved(addresses: Iterable[Address]) -> list[str]:
    """As getsockname would tell them. Raises BadListener."""
    found = []
    for host, port in addresses:
        try:
            infos = await trio.socket.getaddrinfo(host, port, socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            raise BadListener(f"{host}:{port}: {error.strerror or error}") from error
        found.append(format_address((str(infos[0][4][0]), int(infos[0][4][1]))))
    return found


def listen(address: str) -> socket.socket:
    """It listens at once: only so is an address that another process listens at refused.
    Raises BadListener."""
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
class Sorted:
    """kept: passed on and wanted; opened: wanted only, and listening now; closed: passed on only."""

    kept: list[socket.socket]
    opened: list[socket.socket]
    closed: list[str]

    @property
    def all(self) -> list[socket.socket]:
        return [*self.kept, *self.opened]


def sort_out(passed: Sequence[socket.socket], wants: Iterable[str]) -> Sorted:
    """Closes what is not wanted, and listens where one is missing. After BadListener all are closed."""
    left = {format_address(sock.getsockname()): sock for sock in reversed(passed)}
    kept, opened = [], []
    try:
        for address in dict.fromkeys(wants):
            if address in left:
                kept.append(left.pop(address))
            else:
                opened.append(listen(address))
    except BadListener:
        for sock in (*passed, *opened):
            sock.close()
        raise
    for sock in passed:
        if sock not in kept:
            sock.close()
    return Sorted(kept, opened, sorted(left))


def from_environment(environment: MutableMapping[str, str], own_id: int) -> list[socket.socket]:
    """The sockets that the service manager has opened for this very process, none if it has not: what is
    meant for a parent is left to it. The variables are taken away, as no child is to heed them. Raises
    BadListener."""
    count_text, pid_text, names_text = (environment.pop(name, "") for name in NAMES)
    if not count_text or pid_text != str(own_id):
        return []
    if not count_text.isdecimal() or not 0 < int(count_text) <= MOST_PASSED:
        raise BadListener(f"LISTEN_FDS={count_text!r} is not a number from 1 to {MOST_PASSED}")
    names = names_text.split(":") if names_text else []
    found: list[socket.socket] = []
    try:
        for place in range(int(count_text)):
            name = names[place] if place < len(names) else "unknown"
            found.append(_checked(FIRST_PASSED + place, name))
    except BadListener:
        for sock in found:
            sock.close()
        raise
    return found


def _checked(descriptor: int, name: str) -> socket.socket:
    where = f"descriptor {descriptor} ({name})"
    try:
        os.set_inheritable(descriptor, False)
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        raise BadListener(f"{where}: {error.strerror or error}") from error
    try:
        check(sock)
    except BadListener as error:
        sock.close()
        raise BadListener(f"{where} {error}") from None
    return sock


def check(sock: socket.socket) -> None:
    """Raises BadListener unless it is a TCP socket over IPv4 that listens."""
    if sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM:
        raise BadListener("is not a TCP socket over IPv4")
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise BadListener("does not listen")
