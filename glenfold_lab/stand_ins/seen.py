"""Records of what stand-ins saw: observations of the lab, and events that need both ends to classify.

A stand-in records `broke`, `unsaid`, `stopping`, `stalled`, `relay_exited` and `due` as they occur; the
reconciler turns them into observations once the records of all stand-ins are collected.
"""

from glenfold_lab.observe import ListedState, Recorder
from glenfold_lab.stand_ins.lateness import BlockingCalls


class Seen(Recorder):
    """Keeps observations as records whose first value is the time in microseconds.

    `faults` holds violations of the line protocol by a relay, which the platform's rules do not cover, as
    (time, relay, description). `unreached` holds client connects that a relay's machine refused or reset, as
    (time, relay, errno). `blocking_calls` holds the calls that blocked the event loop for long.
    """

    def __init__(self) -> None:
        super().__init__()
        self.faults: list[tuple[int, int, str]] = []
        self.unreached: list[tuple[int, int, int]] = []
        self.blocking_calls = BlockingCalls()

    def broke(self, at: int, request: int, server: int, silent: bool) -> None:
        """Records that the push server broke a standing connection, or is silent on it from now on."""
        self.records.append(("broke", (at, request, server, silent)))

    def unsaid(self, at: int, request: int) -> None:
        """Records that a client's standing connection ended without MOVE or BYE."""
        self.records.append(("unsaid", (at, request)))

    def stopping(self, at: int, relay: int) -> None:
        """Records that SIGTERM is sent to the relay, which begins a planned restart."""
        self.records.append(("stopping", (at, relay)))

    def stalled(self, at: int, relay: int, until: int) -> None:
        """Records that the relay's process is stopped until the time `until`."""
        self.records.append(("stalled", (at, relay, until)))

    def relay_exited(self, at: int, relay: int) -> None:
        """Records that the relay's process, whose end `relay_down` recorded, has exited by now."""
        self.records.append(("relay_exited", (at, relay)))

    def due(self, at: int, relay: int, server: int, state: ListedState, started_us: int) -> None:
        """Records that the relay has to know this state by now, whether the agent sent it or not."""
        self.records.append(("due", (at, relay, server, state, started_us)))

    def fault(self, at: int, relay: int, words: str) -> None:
        """Records a violation of the line protocol by a relay; `words` describes it."""
        self.faults.append((at, relay, words))
