"""Keyed digests that let the stand-ins of one run recognise each other's messages behind a relay.

Clients and push servers of a run share a secret. With it a server checks that a client sent a line in this
form, and a client checks that a server issued the receipt for its request, without any other channel.
"""

import hashlib
from collections.abc import Sequence


class InvalidFirstLine(Exception):
    """Raised when no client of the run can have sent this first line."""


class Seal:
    """Creates and checks the digests of one run's first lines and receipts."""

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def _digest(self, *parts: str) -> str:
        return hashlib.blake2b(" ".join(parts).encode(), digest_size=6, key=self._secret).hexdigest()

    def line(self, ident: int, key: int, fields: Sequence[str], wait_ms: int) -> bytes:
        """Returns a client's first line, with its line end; the wait and the seal follow the given fields."""
        sealed = f"OPEN {ident:016x} {key:016x} {','.join(fields)}"
        return f"{sealed},d={wait_ms},z={wait_ms}.{self._digest(sealed, str(wait_ms))}\r\n".encode()

    def check(self, line: bytes) -> None:
        """Raises InvalidFirstLine unless a client sent this line.

        Only `d` may differ: it must not exceed the wait that the client announced.
        """
        sealed, _, rest = line.decode("ascii", "replace").rpartition(",d=")
        wait, _, seal = rest.partition(",z=")
        announced, _, mark = seal.partition(".")
        if mark != self._digest(sealed, announced) or not wait.isdigit():
            raise InvalidFirstLine("not as its client sent it")
        if int(wait) > int(announced) + 1:  # A relay may round its own wait up.
            raise InvalidFirstLine("it waits for longer than its client")

    def receipt(self, host: str, request: int) -> str:
        """Returns the receipt of a push server for a request."""
        return f"{host}.{self._digest(host, str(request))}"

    def issuer(self, receipt: str, request: int) -> str | None:
        """Returns the push server that issued this receipt for this request; None if no server did."""
        host, _, mark = receipt.rpartition(".")
        return host if mark == self._digest(host, str(request)) else None
