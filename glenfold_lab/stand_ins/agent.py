"""Discovery's agent on loopback sockets: the whole list, and a chunked watch on it, over HTTP/1.1.

`Holding` is what an agent has been sent, without I/O; `Agent` answers with it. Faults of the list itself
(late, lost, doubled, out of order) are in what is sent to the agent and when; the agent's own are switched
here.
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
from glenfold_lab.stand_ins.sockets import Address, SocketType, bind, end_now, take

BACKLOG = 64
CHUNK = 16 * 1024
STILL_S = 2.0  # an empty line goes out when there was nothing for so long
REMEMBERED = 4096  # changes; who asks for older ones gets the whole list
HEALTH = {
    ListedState.READY: "in_service",
    ListedState.DRAINING: "terminating",
    ListedState.GONE: "terminated",
}


@dataclass(frozen=True, slots=True)
class Entry:
    """One push server as discovery lists it. dial: HOST:PORT at which this agent's relay finds it. born_ms:
    Unix milliseconds of its last start; started_us: the same moment as the lab observes it; 0: long ago."""

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

    def plain(self) -> dict[str, object]:
        return {
            "host": self.host,
            "dial": self.dial,
            "site": self.site,
            "class": self.kind,
            "block": self.block,
            "health": HEALTH[self.state],
            "share": self.share,
            "born_ms": self.born_ms,
        }


@dataclass(frozen=True, slots=True)
class Change:
    """What changed since the version before `seq`."""

    seq: int
    entries: tuple[Entry, ...]

    def line(self) -> bytes:
        return _document(self.seq, False, self.entries) + b"\n"


def whole_list(seq: int, entries: Sequence[Entry]) -> dict[str, object]:
    """In discovery's form; a relay's `known` has it too."""
    return {"seq": seq, "whole": True, "hosts": [entry.plain() for entry in entries]}


def _document(seq: int, whole: bool, entries: Sequence[Entry]) -> bytes:
    document = {"seq": seq, "whole": whole, "hosts": [entry.plain() for entry in entries]}
    return json.dumps(document, separators=(",", ":")).encode()


class Holding:
    """The list as an agent has been sent it, without I/O. `sent` is what watches carry, in the order in which
    it came, repeats included."""

    def __init__(self, seq: int, entries: Sequence[Entry]) -> None:
        self.seq = seq
        self.entries = {entry.host: entry for entry in entries}
        self.sent: list[Change] = []
        self._since: dict[str, int] = {}
        self._first = seq

    def take(self, change: Change) -> None:
        """A change that comes late does not undo a newer one of the same server."""
        self.sent.append(change)
        for entry in change.entries:
            if change.seq < self._since.get(entry.host, 0):
                continue
            self._since[entry.host] = change.seq
            if entry.state is ListedState.GONE:
                self.entries.pop(entry.host, None)
            else:
                self.entries[entry.host] = entry
        self.seq = max(self.seq, change.seq)

    def newest(self, change: Change) -> list[Entry]:
        """Those of its entries that no later change has replaced."""
        return [entry for entry in change.entries if change.seq >= self._since.get(entry.host, 0)]

    def whole(self) -> bytes:
        return _document(self.seq, True, tuple(self.entries.values()))

    def after(self, seq: int, upto: int | None) -> bytes:
        """The first line of a watch from that version. `upto`: how much of `sent` its relay has with it; None
        if only the version tells."""
        if not self._first <= seq <= self.seq or (upto is None and len(self.sent) > REMEMBERED):
            return self.whole() + b"\n"
        news = self.sent[upto:] if upto is not None else [change for change in self.sent if change.seq > seq]
        newest = {
            entry.host: entry
            for change in sorted(news, key=lambda change: change.seq)
            for entry in change.entries
        }
        return _document(self.seq, False, tuple(newest.values())) + b"\n"


class Agent:
    """One agent at one address, for one relay or shared by several; `serve` runs until it is cancelled.

    Whatever it holds counts as told to its relays, once it can be asked: when it was written to a watch, or
    at once if none is open. Without relays nothing is counted, which takes a look at every watch."""

    def __init__(
        self, relays: Sequence[int], host: str, holding: Holding, seen: Seen, clock: MachineClock
    ) -> None:
        self.relays = tuple(relays)
        self.holding = holding
        self._host = host
        self._seen = seen
        self._clock = clock
        self._listener = bind(host)
        self.address: Address = self._listener.getsockname()
        self._watches: dict[SocketType, int] = {}  # of each watch, how much of `holding.sent` it has carried
        self._open: dict[SocketType, None] = {}
        self._news = trio.Event()
        self._told = 0  # of `holding.sent`, how much counts as told
        self._found = True  # at its present address
        self.quiet = False
        self.sent_bytes = 0  # to all relays
        self._nursery: trio.Nursery | None = None
        self._accepting = trio.CancelScope()

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        try:
            async with trio.open_nursery() as self._nursery:
                self._listen()
                task_status.started()
                await trio.sleep_forever()
        finally:
            self._nursery = None
            self._listener.close()

    # ---- what befalls it ----

    def take(self, change: Change) -> None:
        """Discovery has sent it this."""
        self.holding.take(change)
        self._wake()
        self._count_as_told()

    def go_quiet(self) -> None:
        """It is there and says nothing, not even that nothing changed."""
        self.quiet = True

    def speak(self) -> None:
        self.quiet = False
        self._wake()
        self._count_as_told()

    def cut(self) -> None:
        """Its open connections are reset."""
        for sock in list(self._open):
            end_now(sock)
            sock.close()

    def move(self, host: str | None = None) -> Address:
        """From now on it is at another address, and its old one refuses; open connections are reset. Nothing
        more counts as told by it until it has been asked there."""
        self._found = False
        self._accepting.cancel()
        self._listener.close()
        self.cut()
        self._listener = bind(host or self._host)
        self.address = self._listener.getsockname()
        self._listen()
        return self.address

    # ---- its tasks ----

    def _listen(self) -> None:
        assert self._nursery is not None
        self._listener.listen(BACKLOG)
        self._accepting = trio.CancelScope()
        self._nursery.start_soon(self._accept, self._accepting, self._listener)

    async def _accept(self, scope: trio.CancelScope, listener: SocketType) -> None:
        assert self._nursery is not None
        with scope:
            while True:
                sock, _ = await listener.accept()
                self._nursery.start_soon(self._talk, sock)

    async def _talk(self, sock: SocketType) -> None:
        self._open[sock] = None
        connection = h11.Connection(h11.SERVER)
        try:
            with suppress(OSError, trio.ClosedResourceError, h11.RemoteProtocolError):
                upto: int | None = None
                while (request := await self._request(connection, sock)) is not None:
                    upto = await self._answer(connection, sock, request.target.decode(), upto)
                    if connection.our_state is not h11.DONE:
                        return
                    connection.start_next_cycle()
        finally:
            self._open.pop(sock, None)
            self._watches.pop(sock, None)
            sock.close()
            self._count_as_told()  # it may have been the last that had not carried some change

    async def _request(self, connection: h11.Connection, sock: SocketType) -> h11.Request | None:
        """The next one, with its end; None when the relay has closed."""
        request = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await sock.recv(CHUNK))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                return request
            elif isinstance(event, h11.ConnectionClosed):
                return None

    async def _answer(
        self, connection: h11.Connection, sock: SocketType, target: str, upto: int | None
    ) -> int | None:
        """`upto`: how much of `holding.sent` was in the whole list that this connection had last."""
        path, _, query = target.partition("?")
        asked = dict(pair.partition("=")[::2] for pair in query.split("&"))
        while self.quiet:
            await self._something_new(float("inf"))
        if path != "/v1/servers":
            missing = h11.Response(status_code=404, headers=[("Content-Length", "0")])
            await self._send(connection, sock, missing, h11.EndOfMessage())
        elif asked.get("watch") == "1":
            await self._watch(connection, sock, int(asked.get("from", "0")), upto)
        else:
            return await self._whole(connection, sock)
        return upto

    async def _whole(self, connection: h11.Connection, sock: SocketType) -> int:
        body, upto = self.holding.whole(), len(self.holding.sent)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        response = h11.Response(status_code=200, headers=headers)
        await self._send(connection, sock, response, h11.Data(data=body), h11.EndOfMessage())
        self._found = True
        self._tell_upto(upto)
        return upto

    async def _watch(
        self, connection: h11.Connection, sock: SocketType, since: int, upto: int | None
    ) -> None:
        headers = [("Content-Type", "application/json"), ("Transfer-Encoding", "chunked")]
        first, carried = self.holding.after(since, upto), len(self.holding.sent)
        response = h11.Response(status_code=200, headers=headers)
        await self._send(connection, sock, response, h11.Data(data=first))
        while True:
            self._watches[sock] = carried
            self._count_as_told()
            still_until = trio.current_time() + STILL_S
            if self.quiet or carried == len(self.holding.sent):  # more may have come while it was writing
                await self._something_new(still_until)
            if self.quiet:
                continue
            lines, carried = self.holding.sent[carried:], len(self.holding.sent)
            for change in lines:
                await self._send(connection, sock, h11.Data(data=change.line()))
            if not lines and trio.current_time() >= still_until:
                await self._send(connection, sock, h11.Data(data=b"\n"))

    async def _something_new(self, until: float) -> None:
        with trio.move_on_at(until):
            await self._news.wait()

    async def _send(self, connection: h11.Connection, sock: SocketType, *events: h11.Event) -> None:
        data = b"".join(connection.send(event) or b"" for event in events)
        await take(sock, data)
        self.sent_bytes += len(data)

    def _wake(self) -> None:
        news, self._news = self._news, trio.Event()
        news.set()

    def _count_as_told(self) -> None:
        """What every open watch has carried; all, if none is open."""
        if self.relays and self._found and not self.quiet:
            self._tell_upto(min(self._watches.values(), default=len(self.holding.sent)))

    def _tell_upto(self, count: int) -> None:
        now = self._clock.now_us()
        for change in self.holding.sent[self._told : count]:
            for relay in self.relays:
                for entry in self.holding.newest(change):
                    self._seen.told(now, relay, entry.number, entry.state, entry.started_us)
        self._told = max(self._told, count)
