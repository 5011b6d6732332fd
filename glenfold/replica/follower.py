"""Following one of several parents, and handing on what is newer: sockets only.

What a parent's answer is worth, which parent is next and when another is asked is decided in
`glenfold.rules`.
A parent is left for another only once that one has answered, so that a child without a better choice stays.
"""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import h11
import trio

from glenfold import events
from glenfold.config.platform import Parent, written
from glenfold.destinations import BadList
from glenfold.replica.parent_watch import FAULTS, GONE, Body, Call, call
from glenfold.rules.greeting import BadGreeting
from glenfold.rules.parent_choice import ParentChoice, Refusal
from glenfold.rules.replication import ListDocument, Publisher
from glenfold.rules.source_lease import LEASE_S, SILENCE_S, SourceLease
from glenfold.rules.succession import Received, Succession, Verdict

FRESH_AGE_S = 3.0  # of a parent that is renewed: SILENCE_S in whole seconds, rounded up as in its header
FRESHER_BY_S = 1.5  # what another must know better than that: ages are told in whole seconds
CATCHING_UP_S = 0.5  # from the beginning of a watch: what was missed comes first, and renews nothing
OUTDATED_S = 4.0  # a list that was renewed so long ago gives way to any that the source renews
SETTLE_S = 0.01  # for a line that is there already, when a loop that lags looks for it late

Settle = Callable[[], Awaitable[None]]


class Refused(Exception):
    """A parent's answer is not to be gone by."""

    def __init__(self, why: Refusal, retry_after_s: float | None = None) -> None:
        super().__init__(why.value)
        self.why = why
        self.retry_after_s = retry_after_s


@dataclass(slots=True)
class Watch:
    """A watch that is held. `after`: the revision that its next change follows on; `said_at_s`: its last
    empty line or object; `renewed_at_s`: what the source said at last through it."""

    call: Call
    after: int
    said_at_s: float
    renewed_at_s: float
    leave_at_s: float = field(default=float("inf"))  # of one that is silent: when another is looked for

    @property
    def parent(self) -> Parent:
        return self.call.parent

    def silent(self, now_s: float) -> bool:
        """For longer than one that is renewed may be."""
        return now_s - self.said_at_s > SILENCE_S


async def _nothing() -> None:
    return


class Follower:
    """`name`: of this replica, which must not stand in a parent's chain; None: it is no replica. `settled` is
    awaited after each document that was published."""

    def __init__(
        self,
        choice: ParentChoice,
        succession: Succession,
        publisher: Publisher,
        name: str | None = None,
        settled: Settle = _nothing,
    ) -> None:
        self._choice = choice
        self._succession = succession
        self._publisher = publisher
        self._name = name
        self._settled = settled
        self._lease = SourceLease()
        self._taking = trio.Lock()
        self._moved = trio.CancelScope()
        self._held = trio.Event()  # the lease holds
        self._next: Watch | None = None
        self._calls: set[Call] = set()
        self._behind: set[Parent] = set()  # at the last look
        self._told: dict[Parent, str] = {}  # the last fault of each, which is logged once
        self.watch: Watch | None = None  # the one held
        self._followed = 0
        self._documents = 0
        self._refused = dict.fromkeys(Refusal, 0)

    @property
    def renewed_at_s(self) -> float:
        """When the source last said that what is known holds; minus infinity: it never has."""
        return self._lease.renewed_at_s

    def move_to(self, parents: Sequence[Parent]) -> None:
        """These are to be followed from now on. A watch of one that stays goes on."""
        self._choice.replace(parents)
        self._succession.release({parent.address for parent in parents})
        self._told.clear()
        if self.watch is None or self.watch.parent not in parents:
            self._moved.cancel()

    def counters(self) -> dict[str, int]:
        """Since the start: documents taken, watches begun, and parents refused by cause."""
        refused = {f"parents_{why.value}": count for why, count in self._refused.items()}
        return {"documents": self._documents, "parents_followed": self._followed, **refused}

    async def follow(self) -> None:
        """Until it is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire)
            while True:
                with trio.CancelScope() as self._moved:
                    await self._follow_each()
                left, self.watch = self.watch, None
                self._close_all()
                await trio.sleep(self._choice.leave_s(0 if left is None else left.call.greeting.children))

    # ---- one parent after the other ----

    async def _follow_each(self) -> None:
        while True:
            self.watch = await self._first()
            while self.watch is not None:
                self.watch = await self._hold(self.watch)

    async def _first(self) -> Watch:
        """Where there is none to stay with: the least old, if none is fresh."""
        while True:
            if (found := await self._look(self._choice.in_turn(trio.current_time()))) is not None:
                return found
            await trio.sleep_until(self._choice.next_turn_s(trio.current_time()))

    async def _hold(self, watch: Watch) -> Watch | None:
        """Until its end, or until there is a better one: that one."""
        self._publisher.via(watch.call.greeting.via)
        events.parent_followed(address=written(watch.parent.address), age_s=watch.call.greeting.age_s)
        self._followed += 1
        self._next = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._seek, watch, nursery.cancel_scope)
            nursery.start_soon(self._catch_up, watch)
            await self._read(watch)
            nursery.cancel_scope.cancel()
        self._close_all(but=self._next)
        if self._next is None:
            await trio.sleep(self._choice.leave_s(watch.call.greeting.children))
        return self._next

    async def _catch_up(self, watch: Watch) -> None:
        """What the head of a watch told of its renewal holds once what was missed has come."""
        await trio.sleep_until(watch.call.began_at_s + CATCHING_UP_S)
        if not watch.call.within_object:
            self._renew(watch, watch.renewed_at_s)

    async def _read(self, watch: Watch) -> None:
        """To the end of a watch, which is a fault of its parent's."""
        try:
            async for body in watch.call.lines():
                watch.said_at_s = trio.current_time()
                watch.leave_at_s = float("inf")
                if body is None:
                    self._renew(watch, trio.current_time())
                    self._choice.sound(watch.parent, trio.current_time())
                else:
                    await self._take_change(watch, body)
            raise h11.RemoteProtocolError("the watch ended")
        except BadList as error:
            self._succession.distrust(watch.call.origin)
            self._refuse(watch.parent, error)
        except (*FAULTS, Refused) as error:
            self._refuse(watch.parent, error)

    async def _take_change(self, watch: Watch, body: Body) -> None:
        verdict = await self._take(watch.call, body, watch.after)
        if verdict in (Verdict.BEHIND, Verdict.INCOMPLETE):
            raise Refused(Refusal.BEHIND)
        watch.after = body.revision
        now_s = trio.current_time()
        renewed = now_s - watch.renewed_at_s <= FRESH_AGE_S and now_s > watch.call.began_at_s + CATCHING_UP_S
        if watch.call.greeting.source or renewed:
            self._renew(watch, now_s)

    def _renew(self, watch: Watch, renewed_at_s: float) -> None:
        watch.renewed_at_s = max(watch.renewed_at_s, renewed_at_s)
        self._renew_lease(renewed_at_s)

    def _renew_lease(self, renewed_at_s: float) -> None:
        if not self._lease.renew(renewed_at_s):
            return
        self._publisher.renew(renewed_at_s)
        if self._lease.holds(trio.current_time()):
            self._held.set()

    async def _expire(self) -> None:
        """Tells each time that the lease has run out."""
        while True:
            await self._held.wait()
            while self._lease.holds(trio.current_time()):
                await trio.sleep_until(self._lease.renewed_at_s + LEASE_S + SETTLE_S)
            self._held = trio.Event()
            self._publisher.stale()

    # ---- another parent ----

    async def _seek(self, watch: Watch, scope: trio.CancelScope) -> None:
        """Looks for a fresher parent while this one is silent, and for a nearer one while it is not."""
        home_at_s = trio.current_time() + self._choice.home_look_s()
        while True:
            now_s = trio.current_time()
            if watch.silent(now_s):
                parents = self._instead(watch, now_s)
            elif now_s >= home_at_s:
                home_at_s = now_s + self._choice.home_look_s()
                parents = self._choice.nearer(watch.parent, now_s)
            else:
                parents = []
            found = await self._look(parents, watch)
            if found is not None and found.parent in self._choice.parents:  # not moved meanwhile
                self._next = found
                scope.cancel()
                return
            if found is not None:
                self._close(found.call)
            await trio.sleep_until(max(trio.current_time(), self._next_look_s(watch, home_at_s)) + SETTLE_S)

    def _instead(self, watch: Watch, now_s: float) -> list[Parent]:
        """Those to be asked now that it is silent, itself last: it may have lost this connection alone."""
        if watch.leave_at_s == float("inf"):
            watch.leave_at_s = now_s + self._choice.leave_s(watch.call.greeting.children)
        if now_s < watch.leave_at_s:
            return []
        watch.leave_at_s = now_s + self._choice.slow_look_s()
        parents = self._choice.in_turn(now_s)
        return sorted(parents, key=lambda parent: parent == watch.parent)

    @staticmethod
    def _next_look_s(watch: Watch, home_at_s: float) -> float:
        if watch.silent(trio.current_time()):
            return watch.leave_at_s if watch.leave_at_s < float("inf") else 0.0
        return min(watch.said_at_s + SILENCE_S, home_at_s)

    async def _look(self, parents: list[Parent], held: Watch | None = None) -> Watch | None:
        """The first of them that is fresh; else the least old, if that is better than what is held."""
        best: Call | None = None
        self._behind.clear()
        for parent in parents:
            found = await self._answer(parent)
            if found is None:
                continue
            if found.greeting.age_s <= FRESH_AGE_S:
                if (watch := await self._take_up(found, held)) is not None:
                    return watch
                continue
            self._refused[Refusal.STALE] += 1
            self._choice.refuse(parent, Refusal.STALE, trio.current_time())
            if best is None or found.renewed_at_s > best.renewed_at_s + FRESHER_BY_S:
                best, found = found, best
            if found is not None:
                self._close(found)
        outdated = self._lease.age_s(trio.current_time()) > OUTDATED_S
        if outdated and (watch := await self._anew(tuple(self._behind))) is not None:
            return watch
        if best is None:
            return None
        if held is not None and best.renewed_at_s <= self._lease.renewed_at_s + FRESHER_BY_S:
            self._close(best)  # nobody is fresher than what is known
            return None
        return await self._adopt(best)

    async def _anew(self, behind: Sequence[Parent]) -> Watch | None:
        """Of a parent whose lists are behind what is known, but which the source renews."""
        for parent in behind:
            self._succession.believe(parent.address)
            found = await self._answer(parent)
            if found is None:
                continue
            fresh = found.greeting.age_s <= FRESH_AGE_S and await self._speaks(found)
            if fresh and (watch := await self._adopt(found)) is not None:
                return watch
            self._close(found)
        self._succession.believe(None)
        return None

    async def _take_up(self, fresh: Call, held: Watch | None) -> Watch | None:
        """A watch that is sound is left only for a parent that has been so for a while."""
        long_sound = self._choice.sound(fresh.parent, trio.current_time())
        if held is None or held.silent(trio.current_time()):
            return await self._adopt(fresh)
        if long_sound and await self._speaks(fresh):
            return await self._adopt(fresh)
        self._close(fresh)
        return None

    async def _speaks(self, fresh: Call) -> bool:
        """A source tells no age: one that is cut off answers, and says nothing after that."""
        if not fresh.greeting.source:
            return True
        parent, trial = fresh.parent, None
        try:
            whole = await self._call(parent, whole=True)
            revision = (await whole.whole()).revision
            self._close(whole)
            trial = await call(parent, revision, None)
            with trio.move_on_after(SILENCE_S):
                async for _ in trial.lines():
                    return True
        except (*FAULTS, BadList) as error:
            self._refuse(parent, error)
        finally:
            if trial is not None:
                trial.close()
        return False

    async def _adopt(self, found: Call) -> Watch | None:
        """As the watch to be held, with the whole list first where changes alone would not do."""
        try:
            if self._succession.needs_whole(found.origin, found.status == GONE):
                await self._take_whole(found)
                found = await self._call(found.parent)
                self._check(found)
                if found.status != 200:
                    raise Refused(Refusal.FAULTY)
        except (*FAULTS, BadList, Refused) as error:
            self._close(found)
            self._refuse(found.parent, error)
            return None
        self._succession.resumed(found.origin)
        assert found.revision is not None
        renewed_at_s = float("-inf") if found.greeting.source else found.renewed_at_s
        return Watch(found, found.revision, trio.current_time(), renewed_at_s)

    async def _answer(self, parent: Parent) -> Call | None:
        """What the parent answers to a watch from what is known; None: it is refused."""
        try:
            found = await self._call(parent)
            self._check(found)
        except (*FAULTS, Refused) as error:
            self._refuse(parent, error)
            return None
        return found

    async def _call(self, parent: Parent, whole: bool = False) -> Call:
        position = None if whole else self._succession.position
        revision = None if position is None else position.revision
        found = await call(parent, revision, self._succession.incarnation)
        self._calls.add(found)
        return found

    def _check(self, found: Call, gone: bool = False) -> None:
        """Raises Refused, and closes it then. `gone`: the call before it was answered so."""
        try:
            if found.status == 503:
                raise Refused(Refusal.BUSY, found.greeting.retry_after_s)
            if found.status not in (200, GONE):
                raise Refused(Refusal.FAULTY)
            if self._name is not None and self._name in found.greeting.via:
                raise Refused(Refusal.LOOP)
            if self._succession.behind(found.origin, gone or found.status == GONE):
                raise Refused(Refusal.BEHIND)
        except Refused:
            self._close(found)
            raise

    # ---- lists ----

    async def _take_whole(self, found: Call) -> None:
        """Closes that call, and asks for the whole list if it is a watch. Raises FAULTS, BadList, Refused."""
        try:
            if found.revision is not None:
                self._close(found)
                gone = found.status == GONE
                found = await self._call(found.parent, whole=True)
                self._check(found, gone)
            if found.status != 200:
                raise Refused(Refusal.FAULTY)
            verdict = await self._take(found, await found.whole(), 0)
            if verdict in (Verdict.BEHIND, Verdict.INCOMPLETE):
                raise Refused(Refusal.BEHIND)
        finally:
            self._close(found)
        self._renew_lease(trio.current_time() if found.greeting.source else found.renewed_at_s)

    async def _take(self, found: Call, body: Body, after: int) -> Verdict | None:
        """Why it was not taken, if it was not."""
        if body.left_out:
            events.list_entry_left_out(fault=f"{body.left_out} entries are no objects")
        async with self._taking:
            received = Received(found.origin, body.revision, body.whole, body.entries, after)
            judged = self._succession.judge(received)
            if not isinstance(judged, ListDocument):
                return judged
            self._documents += 1
            with trio.CancelScope(shield=True):  # what is published is settled, whatever cuts in
                self._publisher.publish(judged)
                await self._settled()
        await trio.lowlevel.checkpoint_if_cancelled()
        return None

    # ---- ends ----

    def _refuse(self, parent: Parent, error: Exception) -> None:
        """Logged once for each kind of fault in a row of one parent."""
        refused = error if isinstance(error, Refused) else None
        why = Refusal.FAULTY if isinstance(error, BadList | BadGreeting) else Refusal.UNREACHABLE
        if refused is not None:
            why = refused.why
        retry_after_s = None if refused is None else refused.retry_after_s
        self._refused[why] += 1
        if why is Refusal.BEHIND:
            self._behind.add(parent)
        self._choice.refuse(parent, why, trio.current_time(), retry_after_s)
        if self._told.get(parent) != repr(error):
            self._told[parent] = repr(error)
            events.parent_refused(address=written(parent.address), why=why.value, error=error)

    def _close(self, found: Call) -> None:
        self._calls.discard(found)
        found.close()

    def _close_all(self, but: Watch | None = None) -> None:
        for found in list(self._calls):
            if but is None or found is not but.call:
                self._close(found)
