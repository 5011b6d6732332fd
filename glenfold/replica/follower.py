"""Following one of several parents, and handing on what is newer: sockets only.

What a parent's answer is worth, which parent is next and when another is asked is decided in
`glenfold.rules`. A parent is left for another only once that one has answered, so that a child without a
better choice stays.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

import h11
import trio

from glenfold import events
from glenfold.config.platform import Parent, format_address
from glenfold.destinations import BadList
from glenfold.replica.list_taking import ListTaking, Settle
from glenfold.replica.parent_calls import FRESH_AGE_S, Answer, ParentCalls, Refused
from glenfold.replica.parent_watch import FAULTS, Body, Call
from glenfold.rules.parent_choice import ParentChoice, Refusal
from glenfold.rules.replication import Publisher
from glenfold.rules.source_lease import SILENCE_S
from glenfold.rules.succession import Succession, Verdict

FRESHER_BY_S = 1.5  # what another must know better than that: ages are told in whole seconds
CATCHING_UP_S = 0.5  # from the beginning of a watch: what was missed comes first, and renews nothing
OUTDATED_S = 4.0  # a list that was renewed so long ago gives way to any that the source renews
SETTLE_S = 0.01  # for a line that is there already, when a loop that lags looks for it late


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
        self._publisher = publisher
        self._taking = ListTaking(succession, publisher, settled)
        self._calls = ParentCalls(choice, self._taking, name)
        self._moved = trio.CancelScope()
        self._next: Watch | None = None
        self._last: Parent | None = None  # followed before
        self._followed = 0
        self.watch: Watch | None = None  # the one held

    @property
    def renewed_at_s(self) -> float:
        """When the source last said that what is known holds; minus infinity: it never has."""
        return self._taking.lease.renewed_at_s

    def move_to(self, parents: Sequence[Parent]) -> None:
        """These are to be followed from now on. A watch of one that stays goes on."""
        self._choice.replace(parents)
        self._taking.succession.release({parent.address for parent in parents})
        self._calls.forget()
        if self.watch is None or self.watch.parent not in parents:
            self._moved.cancel()

    def counters(self) -> dict[str, int]:
        """Since the start: documents taken, watches begun, and parents refused by cause."""
        refused = {f"parents_{why.value}": count for why, count in self._calls.refused.items()}
        return {"documents": self._taking.documents, "parents_followed": self._followed, **refused}

    async def follow(self) -> None:
        """Until it is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._taking.expire)
            while True:
                with trio.CancelScope() as self._moved:
                    await self._follow_each()
                left, self.watch = self.watch, None
                self._calls.close_all()
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
            found = await self._look(self._choice.in_turn(trio.current_time()))
            self._calls.close_all(but=None if found is None else found.call)
            if found is not None:
                return found
            await trio.sleep_until(self._choice.next_turn_s(trio.current_time()))

    async def _hold(self, watch: Watch) -> Watch | None:
        """Until its end, or until there is a better one: that one."""
        self._publisher.via(watch.call.greeting.via)
        if watch.parent != self._last:  # not each time that a silent source is asked again
            events.parent_followed(
                address=format_address(watch.parent.address), age_s=watch.call.greeting.age_s
            )
        self._last = watch.parent
        self._followed += 1
        self._next = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._seek, watch, nursery.cancel_scope)
            nursery.start_soon(self._catch_up, watch)
            await self._read(watch)
            nursery.cancel_scope.cancel()
        self._calls.close_all(but=None if self._next is None else self._next.call)
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
            self._taking.succession.distrust(watch.call.origin)
            self._calls.refuse(watch.parent, error)
        except (*FAULTS, Refused) as error:
            self._calls.refuse(watch.parent, error)

    async def _take_change(self, watch: Watch, body: Body) -> None:
        verdict = await self._taking.take(watch.call, body, watch.after)
        if verdict in (Verdict.BEHIND, Verdict.INCOMPLETE):
            raise Refused(Refusal.BEHIND)
        watch.after = body.revision
        now_s = trio.current_time()
        renewed = now_s - watch.renewed_at_s <= FRESH_AGE_S and now_s > watch.call.began_at_s + CATCHING_UP_S
        if watch.call.greeting.source or renewed:
            self._renew(watch, now_s)

    def _renew(self, watch: Watch, renewed_at_s: float) -> None:
        watch.renewed_at_s = max(watch.renewed_at_s, renewed_at_s)
        self._taking.renew(renewed_at_s)

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
                self._calls.close(found.call)
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

    async def _look(self, parents: Sequence[Parent], held: Watch | None = None) -> Watch | None:
        """The first of them that is fresh; else one that counts anew; else the least old, if that is better
        than what is held."""
        self._calls.behind.clear()
        watch, least_old = await self._fresh(parents, held)
        if watch is not None:
            return watch
        if self._taking.age_s() > OUTDATED_S and (watch := await self._anew()) is not None:
            return watch
        if least_old is None:
            return None
        if held is not None and least_old.renewed_at_s <= self.renewed_at_s + FRESHER_BY_S:
            self._calls.close(least_old)  # nobody is fresher than what is known
            return None
        return await self._adopt(least_old)

    async def _fresh(self, parents: Sequence[Parent], held: Watch | None) -> tuple[Watch | None, Call | None]:
        """The first that is fresh, or else the least old."""
        watch, least_old = None, None
        send, answers = trio.open_memory_channel[Answer](len(parents))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._calls.answers, parents, send)
            async for answer in answers:
                found = answer.call
                if found is not None and found.greeting.age_s <= FRESH_AGE_S:
                    watch = await self._take_up(found, held)
                elif found is not None:
                    self._calls.refuse(found.parent, Refused(Refusal.STALE))
                    least_old = self._older_closed(least_old, found)
                answer.handled.set()
                if watch is not None:
                    nursery.cancel_scope.cancel()
                    break
        return watch, least_old

    def _older_closed(self, nearer: Call | None, found: Call) -> Call:
        if nearer is None:
            return found
        better = found if found.renewed_at_s > nearer.renewed_at_s + FRESHER_BY_S else nearer
        self._calls.close(nearer if better is found else found)
        return better

    async def _anew(self) -> Watch | None:
        """Of a parent whose lists are behind what is known, but which the source renews."""
        succession = self._taking.succession
        for parent in tuple(self._calls.behind):
            succession.believe(parent.address)
            found = await self._calls.answer(parent)
            if found is None:
                continue
            if await self._calls.speaks(found) and (watch := await self._adopt(found)) is not None:
                return watch
            self._calls.close(found)
        succession.believe(None)
        return None

    async def _take_up(self, fresh: Call, held: Watch | None) -> Watch | None:
        """A watch that is sound is left only for a parent that has been so for a while."""
        long_sound = self._choice.sound(fresh.parent, trio.current_time())
        if held is None or held.silent(trio.current_time()):
            return await self._adopt(fresh)
        if long_sound and await self._calls.speaks(fresh):
            return await self._adopt(fresh)
        self._calls.close(fresh)
        return None

    async def _adopt(self, found: Call) -> Watch | None:
        adopted = await self._calls.adopt(found)
        if adopted is None or adopted.revision is None:
            return None
        renewed_at_s = float("-inf") if adopted.greeting.source else adopted.renewed_at_s
        return Watch(adopted, adopted.revision, trio.current_time(), renewed_at_s)
