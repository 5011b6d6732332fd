"""The calls of parents: what each answered, whether that is to be gone by, and what it is refused for."""

from collections.abc import Sequence
from dataclasses import dataclass

import trio

from glenfold import events
from glenfold.config.platform import Parent, written
from glenfold.destinations import BadList
from glenfold.replica.accepted_lists import AcceptedLists
from glenfold.replica.parent_watch import CALL_ERRORS, GONE, Call, open_call
from glenfold.rules.greeting import BadGreeting
from glenfold.rules.parent_choice import ParentChoice, Refusal
from glenfold.rules.source_lease import SILENCE_S
from glenfold.rules.succession import Verdict

FRESH_AGE_S = 3.0  # of a parent that is renewed: SILENCE_S in whole seconds, rounded up as in its header

STAGGER_S = 0.2  # until the next parent is asked beside one that has not answered


class Refused(Exception):
    """A parent's answer is not to be gone by."""

    def __init__(self, why: Refusal, retry_after_s: float | None = None) -> None:
        super().__init__(why.value)
        self.why = why
        self.retry_after_s = retry_after_s


@dataclass(frozen=True, slots=True)
class Answer:
    """`call` None: the parent was refused. `handled` is to be set, and lets the next parent be asked."""

    call: Call | None
    handled: trio.Event


class ParentCalls:
    """`name`: of this replica, which must not stand in a parent's chain; None: it is no replica."""

    def __init__(self, choice: ParentChoice, lists: AcceptedLists, name: str | None) -> None:
        self._choice = choice
        self._lists = lists
        self._name = name
        self._open: set[Call] = set()
        self._last_reported: dict[Parent, str] = {}  # the last fault of each, which is logged once
        self.behind: set[Parent] = set()  # refused for that since this was last cleared
        self.refused = dict.fromkeys(Refusal, 0)  # since the start

    def forget_reported(self) -> None:
        """Which faults were logged: there are other parents."""
        self._last_reported.clear()

    async def ask_all(self, parents: Sequence[Parent], send: trio.MemorySendChannel[Answer]) -> None:
        """Of all of them in this order, each after the one before or beside it where that takes long: it may
        be on a machine that has vanished."""
        async with send, trio.open_nursery() as nursery:
            for parent in parents:
                handled = trio.Event()
                nursery.start_soon(self._send_answer, parent, send, handled)
                with trio.move_on_after(STAGGER_S):
                    await handled.wait()

    async def _send_answer(
        self, parent: Parent, send: trio.MemorySendChannel[Answer], handled: trio.Event
    ) -> None:
        await send.send(Answer(await self.ask(parent), handled))

    async def ask(self, parent: Parent) -> Call | None:
        """What the parent answers to a watch from what is known; None: it is refused."""
        try:
            call = await self._call(parent)
            self._check(call)
        except (*CALL_ERRORS, Refused) as error:
            self.refuse(parent, error)
            return None
        return call

    async def adopt(self, call: Call) -> Call | None:
        """A watch to be held, after the whole list where changes alone would not do; None: it is refused."""
        succession = self._lists.succession
        try:
            if succession.needs_whole(call.origin, call.status == GONE):
                await self._take_whole(call)
                call = await self._call(call.parent)
                self._check(call)
                if call.status != 200:
                    raise Refused(Refusal.FAULTY)
        except (*CALL_ERRORS, BadList, Refused) as error:
            self.close(call)
            self.refuse(call.parent, error)
            return None
        succession.resumed(call.origin)
        return call

    async def is_renewed(self, fresh: Call) -> bool:
        """Whether the source renews it. A source tells no age: one that is cut off answers, and says nothing
        after that."""
        if fresh.greeting.age_s > FRESH_AGE_S:
            return False
        if not fresh.greeting.source:
            return True
        trial = None
        try:
            whole = await self._call(fresh.parent, whole=True)
            revision = (await whole.whole()).revision
            self.close(whole)
            trial = await open_call(fresh.parent, revision, None)
            with trio.move_on_after(SILENCE_S):
                async for _ in trial.lines():
                    return True
        except (*CALL_ERRORS, BadList) as error:
            self.refuse(fresh.parent, error)
        finally:
            if trial is not None:
                trial.close()
        return False

    def refuse(self, parent: Parent, error: Exception) -> None:
        """Logged once for each kind of fault in a row of one parent."""
        why = Refusal.FAULTY if isinstance(error, BadList | BadGreeting) else Refusal.UNREACHABLE
        retry_after_s = None
        if isinstance(error, Refused):
            why, retry_after_s = error.why, error.retry_after_s
        if why is Refusal.BEHIND:
            self.behind.add(parent)
        self.refused[why] += 1
        self._choice.refuse(parent, why, trio.current_time(), retry_after_s)
        if why is not Refusal.STALE and self._last_reported.get(parent) != repr(error):
            self._last_reported[parent] = repr(error)
            events.parent_refused(address=written(parent.address), why=why.value, error=error)

    def close(self, call: Call) -> None:
        """At once, whatever is under way."""
        self._open.discard(call)
        call.close()

    def close_all(self, but: Call | None = None) -> None:
        """All calls that are open."""
        for call in list(self._open):
            if call is not but:
                self.close(call)

    async def _call(self, parent: Parent, whole: bool = False) -> Call:
        succession = self._lists.succession
        position = None if whole else succession.position
        revision = None if position is None else position.revision
        call = await open_call(parent, revision, succession.incarnation)
        self._open.add(call)
        return call

    def _check(self, call: Call, gone: bool = False) -> None:
        """Raises Refused, and closes it then. `gone`: the call before it was answered so."""
        try:
            if call.status == 503:
                raise Refused(Refusal.BUSY, call.greeting.retry_after_s)
            if call.status not in (200, GONE):
                raise Refused(Refusal.FAULTY)
            if self._name is not None and self._name in call.greeting.via:
                raise Refused(Refusal.LOOP)
            if self._lists.succession.behind(call.origin, gone or call.status == GONE):
                raise Refused(Refusal.BEHIND)
        except Refused:
            self.close(call)
            raise

    async def _take_whole(self, call: Call) -> None:
        """Closes that call, and asks for the whole list if it is a watch. Raises FAULTS, BadList, Refused."""
        try:
            if call.revision is not None:
                self.close(call)
                gone = call.status == GONE
                call = await self._call(call.parent, whole=True)
                self._check(call, gone)
            if call.status != 200:
                raise Refused(Refusal.FAULTY)
            verdict = await self._lists.accept(call, await call.whole(), 0)
            if verdict in (Verdict.BEHIND, Verdict.INCOMPLETE):
                raise Refused(Refusal.BEHIND)
        finally:
            self.close(call)
        self._lists.renew(trio.current_time() if call.greeting.source else call.renewed_at_s)
