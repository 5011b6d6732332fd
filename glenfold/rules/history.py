"""The order in which servers became ready and stopped being so, from which a map can be rebuilt. No I/O."""

from dataclasses import dataclass, field

from linnetspread import interface

FORMAT = 1
MAX_CHANGES = 4096

Row = tuple[int, float] | tuple[int]  # A server that became ready, with its share, or one that no longer is.


@dataclass(frozen=True, slots=True)
class Section:
    """The history as it is stored in a snapshot.

    The first `built` rows are those of the first list. The changes follow in the order in which all relays
    apply them: for each list first the departed servers, then the new ones, each by number.
    """

    built: int
    rows: tuple[Row, ...]


@dataclass(slots=True)
class History:
    """The changes of the ready servers since the first list.

    The history must be bounded, so it is abandoned after more than `max_changes` changes.
    """

    max_changes: int = MAX_CHANGES
    ready: dict[int, float] = field(default_factory=dict)  # The share of each server when it became ready.
    _initial: tuple[Row, ...] | None = None
    _changes: list[Row] = field(default_factory=list)

    def record(self, server_list: interface.ServerList) -> bool:
        """Records a list or change, and returns whether a server that was ready no longer is."""
        ready_now = dict(self.ready) if server_list.kind is interface.ListKind.DELTA else {}
        for line in server_list.servers:
            if line.state is interface.ServerState.READY:
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
        """Returns the recorded history; None before the first list, and after the history was abandoned."""
        if self._initial is None or len(self._changes) > self.max_changes:
            return None
        return Section(len(self._initial), (*self._initial, *self._changes))
