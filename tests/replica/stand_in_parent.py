"""Parents for a follower under test, on loopback sockets: a source or a replica, controlled by the test."""

import json
import random
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import trio
import trio.testing
from relaying import entry, read_line

from glenfold.config.platform import Parent
from glenfold.replica.follower import Follower
from glenfold.rules.parent_choice import ParentChoice
from glenfold.rules.replication import ListDocument, Position
from glenfold.rules.succession import Succession

RENEWED_EVERY_S = 2.0


class StandInParent:
    """A parent that is the source if `via` is empty, and otherwise the last replica in `via`.

    While `renewing` is set it sends an empty line every 2 s. `scripted_answers` are sent to the next calls in
    place of the regular answer, which None stands for.
    """

    def __init__(
        self,
        *via: str,
        incarnation: int | None = None,
        revision: int = 1,
        hosts: tuple[str, ...] = ("s-1",),
        zone: str | None = None,
        region: str | None = None,
        children: int = 0,
        renewing: bool = True,
        age_s: float = 0.0,
    ) -> None:
        self.via, self.incarnation, self.revision = via, incarnation, revision
        self.hosts: dict[str, dict[str, Any]] = {host: entry(host) for host in hosts}
        self.zone, self.region, self.children, self.renewing = zone, region, children, renewing
        self.history: list[tuple[int, list[dict[str, Any]]]] = []
        self.oldest = revision
        self.renewed_at_s = -age_s
        self.requests: list[tuple[float, str]] = []
        self.hangs = False  # accepts calls but never answers
        self.hang_at_watch = False  # never answers a watch from its own revision
        self.scripted_answers: list[bytes | None] = []
        self.watches: list[trio.SocketStream] = []
        self.port = 0
        self._scope = trio.CancelScope()
        self._stopped = trio.Event()
        self._sending = trio.Lock()

    @property
    def as_parent(self) -> Parent:
        return Parent(("127.0.0.1", self.port), self.zone, self.region)

    async def listen(self, nursery: trio.Nursery) -> None:
        listener = trio.socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        await listener.bind(("127.0.0.1", self.port))
        listener.listen(512)
        self.port = listener.getsockname()[1]
        self._scope, self._stopped = trio.CancelScope(), trio.Event()
        nursery.start_soon(self._serve, trio.SocketListener(listener))

    async def _serve(self, listener: trio.SocketListener) -> None:
        with self._scope:
            async with listener, trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, self._answer, [listener])
                nursery.start_soon(self._renew)
        self._stopped.set()

    async def kill(self) -> None:
        """Resets all watches and refuses new connections."""
        for stream in self.watches:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.watches.clear()
        self._scope.cancel()
        await self._stopped.wait()

    # ---- changes and renewals ----

    async def change(self, *entries: dict[str, Any], revision: int | None = None) -> None:
        self.revision = self.revision + 1 if revision is None else revision
        for fields in entries:
            self.hosts[fields["host"]] = fields
            if fields["health"] == "terminated":
                del self.hosts[fields["host"]]
        self.history.append((self.revision, list(entries)))
        await self.send(self._object(self.revision, False, list(entries)))

    async def send(self, text: bytes, complete_chunk: bool = True) -> None:
        """Sends a chunk to all watches. An incomplete chunk announces twice the bytes that it has."""
        size = len(text) if complete_chunk else 2 * len(text)
        async with self._sending:
            for stream in list(self.watches):
                with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                    await stream.send_all(b"%x\r\n%s" % (size, text) + b"\r\n" * complete_chunk)

    async def renew(self) -> None:
        self.renewed_at_s = trio.current_time()
        await self.send(b"\n")

    async def _renew(self) -> None:
        while True:
            if self.renewing:
                await self.renew()
            await trio.sleep(RENEWED_EVERY_S)

    @staticmethod
    def _object(revision: int, whole: bool, entries: list[dict[str, Any]]) -> bytes:
        return json.dumps({"seq": revision, "whole": whole, "hosts": entries}).encode() + b"\n"

    # ---- calls of followers ----

    def head(self, status: str, *fields: str) -> bytes:
        lines = [f"HTTP/1.1 {status}", *fields]
        if self.incarnation is not None:
            lines.append(f"Glenfold-Incarnation: {self.incarnation}")
        if self.via:
            lines.append("Via: " + ", ".join(f"1.1 {name}" for name in self.via))
            lines.append(f"Age: {max(0.0, trio.current_time() - self.renewed_at_s):.3f}")
            lines.append(f"Glenfold-Children: {self.children or len(self.watches)}")
        return "\r\n".join([*lines, "", ""]).encode()

    async def _answer(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            await self._answer_all(stream)

    async def _answer_all(self, stream: trio.SocketStream) -> None:
        while (line := await read_line(stream)).startswith(b"GET"):
            while await read_line(stream) != b"\r\n":
                pass
            target = line.split()[1].decode()
            self.requests.append((trio.current_time(), target))
            if self.hangs or self.hang_at_watch and target.endswith(f"from={self.revision}"):
                await trio.sleep_forever()
            scripted_answer = self.scripted_answers.pop(0) if self.scripted_answers else None
            if scripted_answer is not None:
                await stream.send_all(scripted_answer)
                if scripted_answer.endswith(b"\r\n\r\n"):
                    return
            elif "watch" not in target:
                body = self._object(self.revision, True, list(self.hosts.values()))
                await stream.send_all(self.head("200 OK", f"Content-Length: {len(body)}") + body)
            else:
                await self._watch(stream, int(target.rpartition("=")[2]))

    async def _watch(self, stream: trio.SocketStream, after: int) -> None:
        if after > self.revision:
            await stream.send_all(self.head("410 Gone", "Content-Length: 0"))
            return
        text = self.head("200 OK", "Transfer-Encoding: chunked")
        if after < self.oldest:
            changes = [self._object(self.revision, True, list(self.hosts.values()))]
        else:
            changes = [self._object(at, False, entries) for at, entries in self.history if at > after]
        for change in changes:
            text += b"%x\r\n%s\r\n" % (len(change), change)
        await stream.send_all(text)
        self.watches.append(stream)
        with suppress(trio.BrokenResourceError):
            await stream.receive_some()
        if stream in self.watches:
            self.watches.remove(stream)


class RecordingPublisher:
    """A publisher that records each call with its time."""

    def __init__(self) -> None:
        self.documents: list[tuple[float, ListDocument]] = []
        self.renewals: list[tuple[float, float]] = []  # time of the call and `renewed_at_s`
        self.stale_at_s: list[float] = []
        self.chains: list[tuple[str, ...]] = []
        self.document_chains: list[tuple[str, ...]] = []  # the chain that came with each document
        self._update = trio.Event()

    @property
    def positions(self) -> list[Position]:
        return [document.position for _, document in self.documents]

    def publish(self, document: ListDocument, via: tuple[str, ...]) -> None:
        self.documents.append((trio.current_time(), document))
        self.document_chains.append(via)
        self._notify()

    def renew(self, renewed_at_s: float) -> None:
        self.renewals.append((trio.current_time(), renewed_at_s))

    def stale(self) -> None:
        self.stale_at_s.append(trio.current_time())
        self._notify()

    def via(self, names: tuple[str, ...]) -> None:
        self.chains.append(names)
        self._notify()

    def _notify(self) -> None:
        self._update.set()
        self._update = trio.Event()

    async def wait_for_update(self) -> None:
        """Waits for the next call other than a renewal."""
        await self._update.wait()

    async def wait_for_revision(self, revision: int) -> float:
        """Waits for that revision and returns when it was published."""
        while True:
            for at_s, document in self.documents:
                if document.position.revision == revision:
                    return at_s
            await self.wait_for_update()


class Child:
    """A follower and what it publishes. `seed` seeds the random delays of its parent choice."""

    def __init__(
        self,
        *parents: StandInParent,
        zone: str | None = None,
        region: str | None = None,
        seed: int = 1,
        name: str | None = None,
    ) -> None:
        parent_configs = tuple(parent.as_parent for parent in parents)
        self.published = RecordingPublisher()
        self.choice = ParentChoice(parent_configs, zone, region, random.Random(seed))
        self.succession = Succession()
        self.follower = Follower(self.choice, self.succession, self.published, name)

    def parent(self) -> Parent | None:
        return None if self.follower.watch is None else self.follower.watch.parent

    async def wait_for_parent(self) -> None:
        while self.parent() is None:
            await self.published.wait_for_update()

    async def wait_for(self, parent: StandInParent) -> float:
        while self.parent() != parent.as_parent:
            await self.published.wait_for_update()
        return trio.current_time()


def jump_clock(seconds: float) -> None:
    """Advances the mock clock, so that everything due within these seconds is due at once."""
    clock = trio.lowlevel.current_clock()
    assert isinstance(clock, trio.testing.MockClock)
    clock.jump(seconds)


def run_script(script: Callable[[trio.Nursery], Awaitable[None]]) -> None:
    """Runs the script on a mock clock and cancels all tasks that it started. Raises its AssertionError."""
    failed: list[AssertionError] = []

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            try:
                await script(nursery)
            except AssertionError as error:
                failed.append(error)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))
    if failed:
        raise failed[0]
