"""What was observed of one request and of its attempts."""

from dataclasses import dataclass

from glenfold_lab.checker.verdicts import Evidence
from glenfold_lab.observe import AttemptOutcome, Final


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; times are in microseconds.

    `first_sent_at` is when its first byte left the relay, `arrived_at` when its last byte reached the server.
    `previous` is the attempt of the same request that arrived before this one. `ended_at` is None while the
    attempt is open.
    """

    server: int
    first_sent_at: int
    arrived_at: int
    previous: "Attempt | None"
    ended_at: int | None = None
    outcome: AttemptOutcome | None = None

    def evidence(self) -> list[Evidence]:
        """Returns the observations of this attempt, for a verdict."""
        evidence = [
            (self.first_sent_at, f"an attempt for server {self.server} left the relay"),
            (self.arrived_at, f"it had arrived at server {self.server}"),
        ]
        if self.ended_at is not None and self.outcome is not None:
            evidence.append(
                (self.ended_at, f"it was over at server {self.server}: {self.outcome.name.lower()}")
            )
        return evidence


@dataclass(slots=True, eq=False)
class Request:
    """One request that a relay accepted; times are in microseconds.

    `due` is the latest time for its answer. `last_attempt` is the latest attempt, linked to the earlier ones;
    it is dropped once the request has been judged, as the connection may stand for long. `receipt_server` is
    the server whose receipt the UP carries. `later_answers` are the answers after the first.
    `ended_before_arrival` lists attempts that ended before their arrival was observed, as server and time.
    """

    number: int
    relay: int
    taken_at: int
    deadline: int
    due: int
    last_attempt: Attempt | None = None
    final: Final | None = None
    final_at: int = 0
    receipt_server: int | None = None
    later_answers: tuple[tuple[int, Final], ...] = ()
    ended_before_arrival: tuple[tuple[int, int], ...] = ()
    client_left_at: int | None = None
    is_judged: bool = False
    has_ended: bool = False
    has_broken_move_rule: bool = False

    @property
    def is_finished(self) -> bool:
        """Whether no connection of this request stands any longer."""
        return self.final != Final.UP or self.has_ended or self.client_left_at is not None

    def attempts(self) -> list[Attempt]:
        """Returns the attempts in the order of their arrival."""
        attempts, attempt = [], self.last_attempt
        while attempt is not None:
            attempts.append(attempt)
            attempt = attempt.previous
        return attempts[::-1]

    def taken_evidence(self) -> Evidence:
        """Returns the observation that the relay accepted the request."""
        return self.taken_at, f"relay {self.relay} took request {self.number}"

    def final_evidence(self) -> Evidence:
        """Returns the observation of the first final answer."""
        receipt = "" if self.receipt_server is None else f" with the receipt of server {self.receipt_server}"
        return self.final_at, f"its answer: {(self.final or Final.UP).name.lower()}{receipt}"
