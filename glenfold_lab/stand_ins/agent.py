"""A stand-in for the discovery agent: serves the whole list and a chunked watch over HTTP/1.1 on loopback.

`ListState` holds, without I/O, what the agent has received; `Agent` serves it. Faults of the list itself
(late, lost, duplicated or reordered changes) lie in what is given to the agent and when; faults of the agent
(silence, resets, a new address) are injected through the methods of `Agent`.
"""

import json
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass

import h11
import trio

from glenfold_lab.observe import ListedState
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.sockets import Address, SocketType, bind, reset_on_close, send_all

BACKLOG = 64
READ_BYTES = 16 * 1024
# A watch that has nothing to send for this long carries an empty line.
KEEPALIVE_S = 2.0
# With more changes than this, a watch from an older version begins with the whole list.
MAX_REPLAYED_CHANGES = 4096
HEALTH_BY_STATE = {
    ListedState.READY: "in_service",
    ListedState.DRAINING: "terminating",
    ListedState.GONE: "terminated",
}


@dataclass(frozen=True, slots=True)
class Entry:
    """One push server as discovery lists it.

    `dial` is the HOST:PORT under which this agent's relay reaches the server. `born_ms` is the time of the
    server's last start in Unix milliseconds, and `started_us` the same time on the lab's clock; both are 0
    if the start was long ago.
    """

    host: str
    number: int
    dial: str
    site: str
    kind: str
    block: int
    share: float
    state: ListedState = ListedState.READY
    born_ms: int = 0
    started_us: int = 0

    def to_dict(self) -> dict[str, object]:
        """Returns the entry in discovery's JSON form."""
        return {
            "host": self.host,
            "dial": self.dial,
            "site": self.site,
            "class": self.kind,
            "block": self.block,
            "health": HEALTH_BY_STATE[self.state],
            "share": self.share,
            "born_ms": self.born_ms,
        }


@dataclass(frozen=True, slots=True)
class Change:
    """The entries that changed from the preceding version of the list to version `seq`."""

    seq: int
    entries: tuple[Entry, ...]

    def line(self) -> bytes:
        """Returns the change as one line of a watch."""
        return _document(self.seq, False, self.entries) + b"\n"


def full_list_document(seq: int, entries: Sequence[Entry]) -> dict[str, object]:
    """Returns a whole list in discovery's JSON form, which the file of a relay's `known` setting has too."""
    return {"seq": seq, "whole": True, "hosts": [entry.to_dict() for entry in entries]}


def _document(seq: int, whole: bool, entries: Sequence[Entry]) -> bytes:
    document = {"seq": seq, "whole": whole, "hosts": [entry.to_dict() for entry in entries]}
    return json.dumps(document, separators=(",", ":")).encode()


class ListState:
    """The list as an agent has received it, without I/O.

    `sent` holds the changes that watches carry, in order of arrival, duplicates included.
    """

    def __init__(self, seq: int, entries: Sequence[Entry]) -> None:
        self.seq = seq
        self.entries = {entry.host: entry for entry in entries}
        self.sent: list[Change] = []
        self._last_seqs: dict[str, int] = {}
        self._first_seq = seq

    def apply(self, change: Change) -> None:
        """Adds a change; a late change does not overwrite a newer entry of the same server."""
        self.sent.append(change)
        for entry in change.entries:
            if change.seq < self._last_seqs.get(entry.host, 0):
                continue
            self._last_seqs[entry.host] = change.seq
            if entry.state is ListedState.GONE:
                self.entries.pop(entry.host, None)
            else:
                self.entries[entry.host] = entry
        self.seq = max(self.seq, change.seq)

    def current_entries(self, change: Change) -> list[Entry]:
        """Returns the entries of the change that no later change has replaced."""
        return [entry for entry in change.entries if change.seq >= self._last_seqs.get(entry.host, 0)]

    def whole(self) -> bytes:
        """Returns the whole list as a document in discovery's form."""
        return _document(self.seq, True, tuple(self.entries.values()))

    def first_watch_line(self, seq: int, sent_count: int | None) -> bytes:
        """Returns the first line of a watch from version `seq`.

        `sent_count` is how many changes of `sent` the relay already has; None if only the version is known.
        """
        if not self._first_seq <= seq <= self.seq or (
            sent_count is None and len(self.sent) > MAX_REPLAYED_CHANGES
        ):
            return self.whole() + b"\n"
        missing = (
            self.sent[sent_count:]
            if sent_count is not None
            else [change for change in self.sent if change.seq > seq]
        )
        current_entries = {
            entry.host: entry
            for change in sorted(missing, key=lambda change: change.seq)
            for entry in change.entries
        }
        return _document(self.seq, False, tuple(current_entries.values())) + b"\n"


class Agent:
    """One agent at one address, for one relay or shared by several; `serve` runs until it is cancelled.

    While the agent can be reached, a change is recorded as told to its relays as soon as every open watch has
    carried it, or at once if no watch is open. Without relays nothing is recorded, which saves going through
    all watches for each change.
    """

    def __init__(
        self, relays: Sequence[int], host: str, list_state: ListState, seen: Seen, clock: MachineClock
    ) -> None:
        self.relays = tuple(relays)
        self.list_state = list_state
        self._host = host
        self._seen = seen
        self._clock = clock
        self._listener = bind(host)
        self.address: Address = self._listener.getsockname()
        self._watches: dict[SocketType, int] = {}  # How many changes of `list_state.sent` each has carried.
        self._sockets: dict[SocketType, None] = {}
        self._change_event = trio.Event()
        self._recorded = 0  # How many changes of `list_state.sent` are recorded as told.
        self._is_found = True  # Whether a relay has asked at the present address.
        self.is_muted = False
        self.sent_bytes = 0  # To all relays together.
        self._nursery: trio.Nursery | None = None
        self._accept_scope = trio.CancelScope()

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Answers requests until it is cancelled; the task has started once the agent listens."""
        try:
            async with trio.open_nursery() as self._nursery:
                self._listen()
                task_status.started()
                await trio.sleep_forever()
        finally:
            self._nursery = None
            self._listener.close()

    # ---- changes and faults ----

    def apply(self, change: Change) -> None:
        """Takes in a change from discovery."""
        self.list_state.apply(change)
        self._notify_watches()
        self._record_watched()

    def mute(self) -> None:
        """Stops all output, keep-alive lines included; connections stay open."""
        self.is_muted = True

    def unmute(self) -> None:
        """Resumes output after `mute`."""
        self.is_muted = False
        self._notify_watches()
        self._record_watched()

    def reset_connections(self) -> None:
        """Resets all open connections."""
        for sock in list(self._sockets):
            reset_on_close(sock)
            sock.close()

    def move(self, host: str | None = None) -> Address:
        """Moves the agent to another address; the old one refuses connections, and open ones are reset.

        No change is recorded as told until a relay has asked at the new address.
        """
        self._is_found = False
        self._accept_scope.cancel()
        self._listener.close()
        self.reset_connections()
        self._listener = bind(host or self._host)
        self.address = self._listener.getsockname()
        self._listen()
        return self.address

    # ---- tasks ----

    def _listen(self) -> None:
        assert self._nursery is not None
        self._listener.listen(BACKLOG)
        self._accept_scope = trio.CancelScope()
        self._nursery.start_soon(self._accept, self._accept_scope, self._listener)

    async def _accept(self, scope: trio.CancelScope, listener: SocketType) -> None:
        assert self._nursery is not None
        with scope:
            while True:
                sock, _ = await listener.accept()
                self._nursery.start_soon(self._serve_connection, sock)

    async def _serve_connection(self, sock: SocketType) -> None:
        self._sockets[sock] = None
        connection = h11.Connection(h11.SERVER)
        try:
            with suppress(OSError, trio.ClosedResourceError, h11.RemoteProtocolError):
                sent_count: int | None = None
                while (request := await self._read_request(connection, sock)) is not None:
                    sent_count = await self._answer(connection, sock, request.target.decode(), sent_count)
                    if connection.our_state is not h11.DONE:
                        return
                    connection.start_next_cycle()
        finally:
            self._sockets.pop(sock, None)
            self._watches.pop(sock, None)
            sock.close()
            self._record_watched()  # This may have been the last watch without some change.

    async def _read_request(self, connection: h11.Connection, sock: SocketType) -> h11.Request | None:
        """Reads the next complete request; returns None when the relay has closed the connection."""
        request = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await sock.recv(READ_BYTES))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                return request
            elif isinstance(event, h11.ConnectionClosed):
                return None

    async def _answer(
        self, connection: h11.Connection, sock: SocketType, target: str, sent_count: int | None
    ) -> int | None:
        """Answers one request.

        `sent_count` is how many changes of `list_state.sent` the last whole list on this connection had; None
        before the first list. Returns the value for the next request.
        """
        path, _, query = target.partition("?")
        parameters = dict(pair.partition("=")[::2] for pair in query.split("&"))
        while self.is_muted:
            await self._wait_for_change(float("inf"))
        if path != "/v1/servers":
            not_found = h11.Response(status_code=404, headers=[("Content-Length", "0")])
            await self._send(connection, sock, not_found, h11.EndOfMessage())
        elif parameters.get("watch") == "1":
            await self._send_watch(connection, sock, int(parameters.get("from", "0")), sent_count)
        else:
            return await self._send_full(connection, sock)
        return sent_count

    async def _send_full(self, connection: h11.Connection, sock: SocketType) -> int:
        body, sent_count = self.list_state.whole(), len(self.list_state.sent)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        response = h11.Response(status_code=200, headers=headers)
        await self._send(connection, sock, response, h11.Data(data=body), h11.EndOfMessage())
        self._is_found = True
        self._record_up_to(sent_count)
        return sent_count

    async def _send_watch(
        self, connection: h11.Connection, sock: SocketType, since: int, sent_count: int | None
    ) -> None:
        headers = [("Content-Type", "application/json"), ("Transfer-Encoding", "chunked")]
        first, carried_count = self.list_state.first_watch_line(since, sent_count), len(self.list_state.sent)
        response = h11.Response(status_code=200, headers=headers)
        await self._send(connection, sock, response, h11.Data(data=first))
        while True:
            self._watches[sock] = carried_count
            self._record_watched()
            keepalive_at = trio.current_time() + KEEPALIVE_S
            if self.is_muted or carried_count == len(
                self.list_state.sent
            ):  # Changes may have come during the write.
                await self._wait_for_change(keepalive_at)
            if self.is_muted:
                continue
            lines, carried_count = self.list_state.sent[carried_count:], len(self.list_state.sent)
            for change in lines:
                await self._send(connection, sock, h11.Data(data=change.line()))
            if not lines and trio.current_time() >= keepalive_at:
                await self._send(connection, sock, h11.Data(data=b"\n"))

    async def _wait_for_change(self, until: float) -> None:
        with trio.move_on_at(until):
            await self._change_event.wait()

    async def _send(self, connection: h11.Connection, sock: SocketType, *events: h11.Event) -> None:
        data = b"".join(connection.send(event) or b"" for event in events)
        await send_all(sock, data)
        self.sent_bytes += len(data)

    def _notify_watches(self) -> None:
        event, self._change_event = self._change_event, trio.Event()
        event.set()

    def _record_watched(self) -> None:
        """Records as told what every open watch has carried, or all changes if no watch is open."""
        if self.relays and self._is_found and not self.is_muted:
            self._record_up_to(min(self._watches.values(), default=len(self.list_state.sent)))

    def _record_up_to(self, count: int) -> None:
        now = self._clock.now_us()
        for change in self.list_state.sent[self._recorded : count]:
            for relay in self.relays:
                for entry in self.list_state.current_entries(change):
                    self._seen.told(now, relay, entry.number, entry.state, entry.started_us)
        self._recorded = max(self._recorded, count)
