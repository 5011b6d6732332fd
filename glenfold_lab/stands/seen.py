"""What stand-ins saw: the lab's observations, and what only both ends together can name.

A stand-in records `broke`, `unsaid`, `stopping` and `listed` as it sees them; `glenfold_lab.stands.judge`
turns them into observations once those of all stand-ins are at hand.
"""

from glenfold_lab.observe import Recorder, Told


class Seen(Recorder):
    """Observations as records, the moment first. faults: what can't be a part of any history."""

    def __init__(self) -> None:
        super().__init__()
        self.faults: list[str] = []

    def broke(self, at: int, request: int, server: int) -> None:
        """The push server ended this standing connection without a word, or is silent on it from now on."""
        self.records.append(("broke", (at, request, server)))

    def unsaid(self, at: int, request: int) -> None:
        """A client's standing connection ended without MOVE or BYE."""
        self.records.append(("unsaid", (at, request)))

    def stopping(self, at: int, relay: int) -> None:
        """SIGTERM is sent to the relay: a planned restart begins."""
        self.records.append(("stopping", (at, relay)))

    def listed(self, at: int, server: int, state: Told, started_us: int) -> None:
        """Discovery knows this of the server; each relay counts as told some seconds later at the latest."""
        self.records.append(("listed", (at, server, state, started_us)))

    def syntax(self, relay: int, server: int, fault: str) -> None:
        """The relay sent that server a first line that no client sent."""
        self.faults.append(f"relay {relay} sent server {server} what no client sends: {fault}")
