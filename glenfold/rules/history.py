"""In which order servers became ready and ceased to be: what a map of this process is made of. No I/O."""

from dataclasses import dataclass, field

from linnetspread import interface as i

FORMAT = 1
MAX_CHANGES = 4096

Row = tuple[int, float] | tuple[int]  # a server that became ready, with its share; one that ceased to be


@dataclass(frozen=True, slots=True)
class Section:
    """The first `built` rows are those of the first list; the changes follow in the order that all relays
    apply them in: of one list first who left, then who came, each by number."""

    built: int
    rows: tuple[Row, ...]


@dataclass(slots=True)
class History:
    """Over `most` changes since the first list it is given up: it must be bounded."""

    max_changes: int = MAX_CHANGES
    ready: dict[int, float] = field(default_factory=dict)  # with the share that each came with
    _initial: tuple[Row, ...] | None = None
    _changes: list[Row] = field(default_factory=list)

    def record(self, server_list: i.ServerList) -> bool:
        """Whether a ready server left with this list, or is not in it."""
        ready_now = dict(self.ready) if server_list.kind is i.ListKind.DELTA else {}
        for line in server_list.servers:
            if line.state is i.ServerState.READY:
                ready_now[line.server] = self.ready.get(line.server, line.weight)
            else:
                ready_now.pop(line.server, None)
        departed = sorted(self.ready.keys() - ready_now.keys())
        arrived: list[Row] = [
            (server, ready_now[server]) for server in sorted(ready_now.keys() - self.ready.keys())
        ]
        self.ready = ready_now
        if self._initial is None:
            self._initial = tuple(arrived)
        elif len(self._changes) <= self.max_changes:
            self._changes += [*((server,) for server in departed), *arrived]
        return bool(departed)

    def section(self) -> Section | None:
        """None before the first list, and when it was given up."""
        if self._initial is None or len(self._changes) > self.max_changes:
            return None
        return Section(len(self._initial), (*self._initial, *self._changes))
