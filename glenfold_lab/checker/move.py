"""Rule "move": a relay sends MOVE before it ends a standing connection whose push server still answers.

No line on a standing connection may be delayed by more than a second.
"""

from glenfold_lab.checker.gaps import Overrun
from glenfold_lab.checker.state import Request
from glenfold_lab.checker.verdicts import Evidence, Verdicts

MAX_LINE_DELAY_US = 1_000_000


def report_cut(verdicts: Verdicts, record: Request | None, at: int, request: int) -> None:
    """Reports a standing connection that the relay closed without MOVE."""
    _report(
        verdicts, record, at, request, "the relay cut it without MOVE while its push server still answered"
    )


def held_back(
    verdicts: Verdicts, record: Request | None, at: int, request: int, us: int, slack_us: int
) -> None:
    """Reports a line that was delayed by `us` microseconds."""
    reason = f"a line on it had been held back for {us / 1e6:.6f} s"
    overrun = Overrun(at - us + MAX_LINE_DELAY_US + slack_us, at)
    _report(verdicts, record, at, request, reason, overrun)


def _report(
    verdicts: Verdicts,
    record: Request | None,
    at: int,
    request: int,
    reason: str,
    overrun: Overrun | None = None,
) -> None:
    """Adds at most one verdict for each connection.

    `record` is None for a connection that was set up before the history began: its request was not observed.
    """
    if record is None:
        stood: Evidence = at, f"connection {request} had stood since before the history"
        return verdicts.add("move", at, [stood, (at, reason)], request, overrun=overrun)
    if not record.has_broken_move_rule:
        record.has_broken_move_rule = True
        evidence = [record.taken_evidence(), record.final_evidence(), (at, reason)]
        verdicts.add("move", at, evidence, request, record.receipt_server, record.relay, overrun)
