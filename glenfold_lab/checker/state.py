"""What was seen of one request and of its attempts."""

from dataclasses import dataclass

from glenfold_lab.checker.verdicts import Seen
from glenfold_lab.observe import AttemptOutcome, Final


@dataclass(slots=True, eq=False)
class Attempt:
    """over_at is None while it is out. before: the one that arrived before it, for the same request."""

    server: int
    first: int
    at: int
    before: "Attempt | None"
    over_at: int | None = None
    how: AttemptOutcome | None = None

    def seen(self) -> list[Seen]:
        seen = [
            (self.first, f"an attempt for server {self.server} left the relay"),
            (self.at, f"it had arrived at server {self.server}"),
        ]
        if self.over_at is not None and self.how is not None:
            seen.append((self.over_at, f"it was over at server {self.server}: {self.how.name.lower()}"))
        return seen


@dataclass(slots=True, eq=False)
class Request:
    """due: the last moment for its answer. last: its attempts, the latest first; let go once it has been
    judged, as the connection may stand for long. receipt_of: the server whose receipt its UP bears.
    again: answers after the first. over_before: attempts that were over before they had arrived, by server
    and moment. lost: its connection has broken the rule on moves."""

    number: int
    relay: int
    taken_at: int
    deadline: int
    due: int
    last: Attempt | None = None
    final: Final | None = None
    final_at: int = 0
    receipt_of: int | None = None
    again: tuple[tuple[int, Final], ...] = ()
    over_before: tuple[tuple[int, int], ...] = ()
    left_at: int | None = None
    judged: bool = False
    ended: bool = False
    lost: bool = False

    @property
    def over(self) -> bool:
        return self.final != Final.UP or self.ended or self.left_at is not None

    def attempts(self) -> list[Attempt]:
        """In the order of their arrival."""
        found, one = [], self.last
        while one is not None:
            found.append(one)
            one = one.before
        return found[::-1]

    def taken_seen(self) -> Seen:
        return self.taken_at, f"relay {self.relay} took request {self.number}"

    def final_seen(self) -> Seen:
        of = "" if self.receipt_of is None else f" with the receipt of server {self.receipt_of}"
        return self.final_at, f"its answer: {(self.final or Final.UP).name.lower()}{of}"
