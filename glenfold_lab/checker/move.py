"""MOVE before a cut: a standing connection whose push server still answers is ended only politely, and no
line on it is held back for more than a second."""

from glenfold_lab.checker.state import Request
from glenfold_lab.checker.verdicts import Seen, Verdicts

HELD_BACK_US = 1_000_000


def cut(found: Verdicts, state: Request | None, at: int, request: int) -> None:
    _lost(found, state, at, request, "the relay cut it without MOVE while its push server still answered")


def held_back(found: Verdicts, state: Request | None, at: int, request: int, us: int) -> None:
    _lost(found, state, at, request, f"a line on it had been held back for {us / 1e6:.6f} s")


def _lost(found: Verdicts, state: Request | None, at: int, request: int, words: str) -> None:
    """Once for each connection. One that stood before the history did was never taken in it."""
    if state is None:
        stood: Seen = at, f"connection {request} had stood since before the history"
        return found.add("move", at, [stood, (at, words)], request)
    if not state.lost:
        state.lost = True
        seen = [state.taken_seen(), state.final_seen(), (at, words)]
        found.add("move", at, seen, request, state.receipt_of, state.relay)
