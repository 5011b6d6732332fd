"""Made-up lists of push servers, of any size, and the changes that befall them, in discovery's form."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

from glenfold_lab.observe import ListedState
from glenfold_lab.stand_ins.agent import Change, Entry

ZONES = 14  # of the target
KINDS = "m1", "m2", "m3"
CELL_SERVERS = 32  # servers that share a cell
FIRST_SEQ = 1
FIRST_START_MS = 1_700_000_000_000  # of servers that start again in a change
SETTINGS: dict[str, Any] = {
    "replicas_of_me": 3400,
    "classes": [{"name": "watch", "aim_us": 500_000, "hard_limit_us": 3_000_000, "semantics": "repeatable"}],
    "accounts": [{"name": "all"}],
    "areas": [f"zone-{n}" for n in range(ZONES)],
    "kinds": list(KINDS),
    "weights": "rough",
    "ceilings": {"max_attempts": 2},
    "extra": {"mode": "pass", "message_aim_us": [100_000.0]},
}


@dataclass(frozen=True, slots=True)
class ServerFleet:
    """Servers as discovery lists them, all in service and warm, dealt evenly over the zones."""

    entries: tuple[Entry, ...]

    @classmethod
    def drawn(cls, servers: int, seed: int, dials: Sequence[str] = ("127.0.0.1:9",)) -> "ServerFleet":
        """`dials`: HOST:PORT addresses, dealt to the servers in turn. All have the same share."""
        draws = random.Random(seed)
        hosts = [f"s-{value:08x}" for value in draws.sample(range(1 << 32), servers)]
        return cls(
            tuple(
                Entry(
                    host=host,
                    number=number,
                    dial=dials[number % len(dials)],
                    site=f"zone-{number % ZONES}",
                    kind=draws.choice(KINDS),
                    block=number // CELL_SERVERS,
                    share=1.0,
                )
                for number, host in enumerate(hosts)
            )
        )

    def zone(self, number: int) -> tuple[Entry, ...]:
        return tuple(entry for entry in self.entries if entry.site == f"zone-{number}")

    def whole(self) -> Change:
        """All of them, as the entries of a whole list."""
        return Change(FIRST_SEQ, self.entries)


class ChangeScript:
    """Changes one after the other, each with the next version."""

    def __init__(self) -> None:
        self._seq = FIRST_SEQ

    def change(self, entries: Sequence[Entry], state: ListedState) -> Change:
        """These servers are now listed as `state`; those in service have just started."""
        self._seq += 1
        started = FIRST_START_MS + self._seq if state is ListedState.READY else 0
        return Change(
            self._seq,
            tuple(replace(entry, state=state, born_ms=started or entry.born_ms) for entry in entries),
        )

    def replacement(self, entry: Entry) -> tuple[Change, Change, Change]:
        """The changes that one server's replacement takes: it drains, ends, and starts again."""
        return (
            self.change([entry], ListedState.DRAINING),
            self.change([entry], ListedState.GONE),
            self.change([entry], ListedState.READY),
        )
