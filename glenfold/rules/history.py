"""In which order servers became ready and ceased to be: what a map of this process is made of. No I/O."""

from dataclasses import dataclass, field

from linnetspread import interface as i

FORMAT = 1
MOST_CHANGES = 4096

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

    most: int = MOST_CHANGES
    ready: dict[int, float] = field(default_factory=dict)  # with the share that each came with
    _built: tuple[Row, ...] | None = None
    _changes: list[Row] = field(default_factory=list)

    def heard(self, told: i.ServerList) -> bool:
        """Whether a ready server left with this list, or is not in it."""
        now = dict(self.ready) if told.kind is i.ListKind.DELTA else {}
        for line in told.servers:
            if line.state is i.ServerState.READY:
                now[line.server] = self.ready.get(line.server, line.weight)
            else:
                now.pop(line.server, None)
        left = sorted(self.ready.keys() - now.keys())
        came: list[Row] = [(server, now[server]) for server in sorted(now.keys() - self.ready.keys())]
        self.ready = now
        if self._built is None:
            self._built = tuple(came)
        elif len(self._changes) <= self.most:
            self._changes += [*((server,) for server in left), *came]
        return bool(left)

    def section(self) -> Section | None:
        """None before the first list, and when it was given up."""
        if self._built is None or len(self._changes) > self.most:
            return None
        return Section(len(self._built), (*self._built, *self._changes))
