"""What stand-ins saw: the lab's observations, and what only both ends together can name.

A stand-in records `broke`, `unsaid`, `stopping`, `stalled` and `due` as it sees them; `judge` turns them into
observations once those of all stand-ins are at hand.
"""

from glenfold_lab.observe import ListedState, Recorder


class Seen(Recorder):
    """Observations as records, the moment first. faults: what no relay may do, beyond the platform's rules:
    the moment, the relay, and words. unreached: connects of clients that a relay's machine refused or reset:
    the moment, the relay and the error's number."""

    def __init__(self) -> None:
        super().__init__()
        self.faults: list[tuple[int, int, str]] = []
        self.unreached: list[tuple[int, int, int]] = []

    def broke(self, at: int, request: int, server: int, silent: bool) -> None:
        """The push server ended this standing connection without a word, or is silent on it from now on."""
        self.records.append(("broke", (at, request, server, silent)))

    def unsaid(self, at: int, request: int) -> None:
        """A client's standing connection ended without MOVE or BYE."""
        self.records.append(("unsaid", (at, request)))

    def stopping(self, at: int, relay: int) -> None:
        """SIGTERM is sent to the relay: a planned restart begins."""
        self.records.append(("stopping", (at, relay)))

    def stalled(self, at: int, relay: int, until: int) -> None:
        """The relay's process is stopped until then."""
        self.records.append(("stalled", (at, relay, until)))

    def due(self, at: int, relay: int, server: int, state: ListedState, started_us: int) -> None:
        """The relay counts as told this by now, whether it was or not."""
        self.records.append(("due", (at, relay, server, state, started_us)))

    def fault(self, at: int, relay: int, words: str) -> None:
        self.faults.append((at, relay, words))
