"""Addresses as text: HOST:PORT, where the host is an IPv4 or IPv6 address or a name that the DNS can hold."""

import re
import socket

import idna

Address = tuple[str, int]

MAX_PORT = 65_535
MAX_NAME_CHARS = 253
# A label of a name. Underscores are in no host name of the standard, but in many private ones.
LABEL = re.compile(r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?")
ZONE = re.compile(r"[A-Za-z0-9_.~-]{1,64}")  # the part of an IPv6 address that names an interface


def read_address(text: str) -> Address:
    """Parses HOST:PORT, where an IPv6 host stands in brackets. Raises ValueError for any other text.

    Any host that is returned can be given to the system and its resolver, which may still not know it. A name
    with letters beyond ASCII is returned in its ASCII form.
    """
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit() or len(port) > len(str(MAX_PORT)):
        raise ValueError(f"{text!r} is not HOST:PORT")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not HOST:PORT with a port from 1 to {MAX_PORT}")
    return _read_host(host, text), int(port)


def format_address(address: Address) -> str:
    """Returns the address in the form that `read_address` parses."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _read_host(host: str, text: str) -> str:
    if host.startswith("[") and host.endswith("]"):
        if not _is_ipv6(host[1:-1]):
            raise ValueError(f"{text!r} has no IPv6 address in its brackets")
        return host[1:-1]
    if _is_numeric(socket.AF_INET, host):
        return host
    name = _ascii_name(host)
    if not name:
        raise ValueError(f"{text!r} is not HOST:PORT; a host is an IPv4 address, [IPv6] or a name")
    return name


def _ascii_name(host: str) -> str | None:
    """Returns a host name in its ASCII form; None if it can't be a name."""
    if not host.isascii():
        try:
            host = idna.encode(host, uts46=True).decode("ascii")
        except UnicodeError:
            return None
    labels = host.removesuffix(".").split(".")
    if len(host) > MAX_NAME_CHARS or not all(map(LABEL.fullmatch, labels)):
        return None
    return None if labels[-1].isdigit() else host  # such as 127.0.0.256: no name ends in a number


def _is_ipv6(host: str) -> bool:
    address, percent, zone = host.partition("%")
    return _is_numeric(socket.AF_INET6, address) and (not percent or ZONE.fullmatch(zone) is not None)


def _is_numeric(family: socket.AddressFamily, host: str) -> bool:
    try:
        socket.inet_pton(family, host)
    except (OSError, ValueError):  # ValueError: a NUL, or characters that can't be encoded
        return False
    return True
