"""Clients and push servers of one run share a secret: so a server knows lines that a client sent in this
form, and a client receipts that a server gave for it, without a word between the two."""

import hashlib
from collections.abc import Sequence


class InvalidFirstLine(Exception):
    """No client sends such a first line."""


class Seal:
    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def _digest(self, *parts: str) -> str:
        return hashlib.blake2b(" ".join(parts).encode(), digest_size=6, key=self._secret).hexdigest()

    def line(self, ident: int, key: int, fields: Sequence[str], wait_ms: int) -> bytes:
        """A client's first line, with its end; behind the figures come the wait and the seal."""
        sealed = f"OPEN {ident:016x} {key:016x} {','.join(fields)}"
        return f"{sealed},d={wait_ms},z={wait_ms}.{self._digest(sealed, str(wait_ms))}\r\n".encode()

    def check(self, line: bytes) -> None:
        """That a client sent it so, but for a `d` that tells at most the wait that the client named."""
        sealed, _, rest = line.decode("ascii", "replace").rpartition(",d=")
        wait, _, seal = rest.partition(",z=")
        announced, _, mark = seal.partition(".")
        if mark != self._digest(sealed, announced) or not wait.isdigit():
            raise InvalidFirstLine("not as its client sent it")
        if int(wait) > int(announced) + 1:  # a relay may round its own up
            raise InvalidFirstLine("it waits for longer than its client")

    def receipt(self, host: str, request: int) -> str:
        return f"{host}.{self._digest(host, str(request))}"

    def issuer(self, receipt: str, request: int) -> str | None:
        """The push server that gave this receipt for this request; None if none did."""
        host, _, mark = receipt.rpartition(".")
        return host if mark == self._digest(host, str(request)) else None
