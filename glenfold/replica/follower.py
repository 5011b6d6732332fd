"""Follows one of several parents and publishes each newer list. This module does the socket I/O only.

The rules in `glenfold.rules` decide whether an answer is used, which parent is next and when another one is
called. The follower leaves a parent for another only once the other has answered, so a child without a better
choice stays with its parent.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

import h11
import trio

from glenfold import events
from glenfold.config.address import format_address
from glenfold.config.platform import Parent
from glenfold.destinations import BadList
from glenfold.replica.accepted_lists import AcceptedLists, AfterPublish
from glenfold.replica.parent_calls import FRESH_AGE_S, Answer, ParentCalls, Refused
from glenfold.replica.parent_watch import CALL_ERRORS, Body, Call
from glenfold.rules.parent_choice import ParentChoice, Refusal
from glenfold.rules.replication import Publisher
from glenfold.rules.source_lease import SILENCE_S
from glenfold.rules.succession import Succession, Verdict

# How much more recently another parent must have been renewed to be preferred. The Age header is in whole
# seconds, so smaller differences mean nothing.
MIN_AGE_GAIN_S = 1.5
# For this long after the start of a watch its lines are changes that were missed, which renew nothing.
CATCH_UP_S = 0.5
# A list older than this is replaced by any list that the source renews, whatever its position.
OUTDATED_AGE_S = 4.0
# When the event loop lags, this gives a line that has already arrived the time to be read.
LOOP_LAG_S = 0.01


@dataclass(slots=True)
class Watch:
    """A watch that is held.

    `after` is the revision that the next change must follow. `last_received_at_s` is the time of the last
    empty line or object. `renewed_at_s` is the latest renewal by the source that came through this watch.
    `replace_at_s` is when the follower looks for another parent if this one is silent.
    """

    call: Call
    after: int
    last_received_at_s: float
    renewed_at_s: float
    replace_at_s: float = field(default=float("inf"))

    @property
    def parent(self) -> Parent:
        return self.call.parent

    def is_silent(self, now_s: float) -> bool:
        """Returns whether the watch has been silent for longer than the source's renewals allow."""
        return now_s - self.last_received_at_s > SILENCE_S


async def _do_nothing() -> None:
    return


class Follower:
    """Follows one parent at a time and hands each newer document to `publisher`.

    `name` is the name of this replica, which must not appear in a parent's Via chain, or None if the follower
    is not a replica. `after_publish` is awaited after each published document.
    """

    def __init__(
        self,
        choice: ParentChoice,
        succession: Succession,
        publisher: Publisher,
        name: str | None = None,
        after_publish: AfterPublish = _do_nothing,
    ) -> None:
        self._choice = choice
        self._publisher = publisher
        self._lists = AcceptedLists(succession, publisher, after_publish)
        self._calls = ParentCalls(choice, self._lists, name)
        self._parents_scope = trio.CancelScope()
        self._next_watch: Watch | None = None
        self._last_parent: Parent | None = None  # the parent followed before the current one
        self._follow_count = 0
        self.watch: Watch | None = None  # the watch that is held now

    @property
    def renewed_at_s(self) -> float:
        """When the source last renewed the known list, or minus infinity if it never has."""
        return self._lists.lease.renewed_at_s

    def move_to(self, parents: Sequence[Parent]) -> None:
        """Replaces the list of parents. The current watch goes on if its parent is still in the list."""
        self._choice.replace(parents)
        self._lists.succession.release({parent.address for parent in parents})
        self._calls.forget_reported()
        if self.watch is None or self.watch.parent not in parents:
            self._parents_scope.cancel()

    def counters(self) -> dict[str, int]:
        """Returns counts since the start: documents accepted, watches started, parents refused by cause."""
        refused = {f"parents_{why.value}": count for why, count in self._calls.refused.items()}
        return {"documents": self._lists.documents, "parents_followed": self._follow_count, **refused}

    async def follow(self) -> None:
        """Follows the parents until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._lists.expire)
                while True:
                    await self._follow_until_moved()
        finally:
            self.watch = None
            self._calls.close_all()

    async def _follow_until_moved(self) -> None:
        """Follows the current parents until `move_to` names others, and leaves the last parent then."""
        with trio.CancelScope() as self._parents_scope:
            await self._follow_parents()
        last_watch, self.watch = self.watch, None
        self._calls.close_all()
        children = 0 if last_watch is None else last_watch.call.header.children
        await trio.sleep(self._choice.leave_delay_s(children))

    # ---- following one parent at a time ----

    async def _follow_parents(self) -> None:
        while True:
            self.watch = await self._find_first_watch()
            while self.watch is not None:
                self.watch = await self._hold_watch(self.watch)

    async def _find_first_watch(self) -> Watch:
        """Waits for a first watch. Without a fresh parent this is the one renewed most recently."""
        while True:
            watch = await self._find_watch(self._choice.available(trio.current_time()))
            self._calls.close_all(but=None if watch is None else watch.call)
            if watch is not None:
                return watch
            await trio.sleep_until(self._choice.next_available_s(trio.current_time()))

    async def _hold_watch(self, watch: Watch) -> Watch | None:
        """Reads the watch until it ends or a better one is found. Returns the better one, or None."""
        self._publisher.via(watch.call.header.via)
        if watch.parent != self._last_parent:  # a silent source that is called again is not logged again
            events.parent_followed(
                address=format_address(watch.parent.address), age_s=watch.call.header.age_s
            )
        self._last_parent = watch.parent
        self._follow_count += 1
        self._next_watch = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._seek_better_parent, watch, nursery.cancel_scope)
            nursery.start_soon(self._catch_up, watch)
            await self._read_watch(watch)
            nursery.cancel_scope.cancel()
        self._calls.close_all(but=None if self._next_watch is None else self._next_watch.call)
        if self._next_watch is None:
            await trio.sleep(self._choice.leave_delay_s(watch.call.header.children))
        return self._next_watch

    async def _catch_up(self, watch: Watch) -> None:
        """Applies the age from the head of a watch once the missed changes have arrived."""
        await trio.sleep_until(watch.call.started_at_s + CATCH_UP_S)
        if not watch.call.within_object:
            self._renew(watch, watch.renewed_at_s)

    async def _read_watch(self, watch: Watch) -> None:
        """Reads the watch to its end, which counts as an error of the parent."""
        try:
            async for body in watch.call.lines():
                watch.last_received_at_s = trio.current_time()
                watch.replace_at_s = float("inf")
                if body is None:
                    self._renew(watch, trio.current_time())
                    self._choice.mark_sound(watch.parent, trio.current_time())
                else:
                    await self._accept_change(watch, body)
            raise h11.RemoteProtocolError("the watch ended")
        except BadList as error:
            self._lists.succession.distrust(watch.call.origin)
            self._calls.refuse(watch.parent, error)
        except (*CALL_ERRORS, Refused) as error:
            self._calls.refuse(watch.parent, error)

    async def _accept_change(self, watch: Watch, body: Body) -> None:
        verdict = await self._lists.accept(watch.call, body, watch.after)
        if verdict in (Verdict.BEHIND, Verdict.INCOMPLETE):
            raise Refused(Refusal.BEHIND)
        watch.after = body.revision
        now_s = trio.current_time()
        renewed = now_s - watch.renewed_at_s <= FRESH_AGE_S and now_s > watch.call.started_at_s + CATCH_UP_S
        if watch.call.header.is_source or renewed:
            self._renew(watch, now_s)

    def _renew(self, watch: Watch, renewed_at_s: float) -> None:
        watch.renewed_at_s = max(watch.renewed_at_s, renewed_at_s)
        self._lists.renew(renewed_at_s)

    # ---- looking for another parent ----

    async def _seek_better_parent(self, watch: Watch, scope: trio.CancelScope) -> None:
        """Looks for a fresher parent while the current one is silent, and for a nearer one otherwise."""
        nearer_check_at_s = trio.current_time() + self._choice.nearer_check_delay_s()
        while True:
            now_s = trio.current_time()
            if watch.is_silent(now_s):
                parents = self._replacement_parents(watch, now_s)
            elif now_s >= nearer_check_at_s:
                nearer_check_at_s = now_s + self._choice.nearer_check_delay_s()
                parents = self._choice.nearer(watch.parent, now_s)
            else:
                parents = []
            other = await self._find_watch(parents, watch)
            # The list of parents may have changed meanwhile.
            if other is not None and other.parent in self._choice.parents:
                self._next_watch = other
                scope.cancel()
                return
            if other is not None:
                self._calls.close(other.call)
            await trio.sleep_until(
                max(trio.current_time(), self._next_check_s(watch, nearer_check_at_s)) + LOOP_LAG_S
            )

    def _replacement_parents(self, watch: Watch, now_s: float) -> list[Parent]:
        """Returns the parents to call while the current one is silent.

        The current parent comes last: it may have lost only this connection.
        """
        if watch.replace_at_s == float("inf"):
            watch.replace_at_s = now_s + self._choice.leave_delay_s(watch.call.header.children)
        if now_s < watch.replace_at_s:
            return []
        watch.replace_at_s = now_s + self._choice.fresher_check_delay_s()
        parents = self._choice.available(now_s)
        return sorted(parents, key=lambda parent: parent == watch.parent)

    @staticmethod
    def _next_check_s(watch: Watch, nearer_check_at_s: float) -> float:
        if watch.is_silent(trio.current_time()):
            return watch.replace_at_s if watch.replace_at_s < float("inf") else 0.0
        return min(watch.last_received_at_s + SILENCE_S, nearer_check_at_s)

    async def _find_watch(self, parents: Sequence[Parent], held: Watch | None = None) -> Watch | None:
        """Returns a watch of the first fresh parent, or else of the best alternative.

        The alternatives are, in this order, a source that started a new history, and the parent that was
        renewed most recently, if that is a gain over the watch held.
        """
        self._calls.behind.clear()
        watch, freshest_call = await self._find_fresh(parents, held)
        if watch is not None:
            return watch
        if (
            self._lists.age_s() > OUTDATED_AGE_S
            and (watch := await self._find_restarted_source()) is not None
        ):
            return watch
        if freshest_call is None:
            return None
        if held is not None and freshest_call.renewed_at_s <= self.renewed_at_s + MIN_AGE_GAIN_S:
            self._calls.close(freshest_call)  # no parent is fresher than the known list
            return None
        return await self._adopt(freshest_call)

    async def _find_fresh(
        self, parents: Sequence[Parent], held: Watch | None
    ) -> tuple[Watch | None, Call | None]:
        """Returns a watch of the first fresh parent, or else the call to the one renewed most recently."""
        watch, freshest_call = None, None
        send, answers = trio.open_memory_channel[Answer](len(parents))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._calls.ask_all, parents, send)
            async for answer in answers:
                call = answer.call
                if call is not None and call.header.age_s <= FRESH_AGE_S:
                    watch = await self._adopt_fresh(call, held)
                elif call is not None:
                    self._calls.refuse(call.parent, Refused(Refusal.STALE))
                    freshest_call = self._keep_fresher(freshest_call, call)
                answer.handled.set()
                if watch is not None:
                    nursery.cancel_scope.cancel()
                    break
        return watch, freshest_call

    def _keep_fresher(self, earlier_call: Call | None, call: Call) -> Call:
        """Returns the call whose parent was renewed more recently, and closes the other."""
        if earlier_call is None:
            return call
        better = call if call.renewed_at_s > earlier_call.renewed_at_s + MIN_AGE_GAIN_S else earlier_call
        self._calls.close(earlier_call if better is call else call)
        return better

    async def _find_restarted_source(self) -> Watch | None:
        """Returns a watch of a parent that is behind the known list but is renewed by the source.

        Such a source has started a new history.
        """
        succession = self._lists.succession
        for parent in tuple(self._calls.behind):
            succession.trust(parent.address)
            call = await self._calls.ask(parent)
            if call is None:
                continue
            if await self._calls.is_renewed(call) and (watch := await self._adopt(call)) is not None:
                return watch
            self._calls.close(call)
        succession.trust(None)
        return None

    async def _adopt_fresh(self, fresh: Call, held: Watch | None) -> Watch | None:
        """Adopts a fresh parent. A working watch is left only for a parent that has worked for a while."""
        has_worked_long = self._choice.mark_sound(fresh.parent, trio.current_time())
        if held is None or held.is_silent(trio.current_time()):
            return await self._adopt(fresh)
        if has_worked_long and await self._calls.is_renewed(fresh):
            return await self._adopt(fresh)
        self._calls.close(fresh)
        return None

    async def _adopt(self, call: Call) -> Watch | None:
        adopted = await self._calls.adopt(call)
        if adopted is None or adopted.revision is None:
            return None
        renewed_at_s = float("-inf") if adopted.header.is_source else adopted.renewed_at_s
        return Watch(adopted, adopted.revision, trio.current_time(), renewed_at_s)
