"""The calls of parents: what each answered, whether that is to be gone by, and what it is refused for."""

from collections.abc import Sequence
from dataclasses import dataclass

import trio

from glenfold import events
from glenfold.config.platform import Parent, format_address
from glenfold.destinations import BadList
from glenfold.replica.list_taking import ListTaking
from glenfold.replica.parent_watch import FAULTS, GONE, Call, call
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

    def __init__(self, choice: ParentChoice, taking: ListTaking, name: str | None) -> None:
        self._choice = choice
        self._taking = taking
        self._name = name
        self._open: set[Call] = set()
        self._told: dict[Parent, str] = {}  # the last fault of each, which is logged once
        self.behind: set[Parent] = set()  # refused for that since this was last cleared
        self.refused = dict.fromkeys(Refusal, 0)  # since the start

    def forget(self) -> None:
        """Which faults were logged: there are other parents."""
        self._told.clear()

    async def answers(self, parents: Sequence[Parent], send: trio.MemorySendChannel[Answer]) -> None:
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
        await send.send(Answer(await self.answer(parent), handled))

    async def answer(self, parent: Parent) -> Call | None:
        """What the parent answers to a watch from what is known; None: it is refused."""
        try:
            found = await self._call(parent)
            self._check(found)
        except (*FAULTS, Refused) as error:
            self.refuse(parent, error)
            return None
        return found

    async def adopt(self, found: Call) -> Call | None:
        """A watch to be held, after the whole list where changes alone would not do; None: it is refused."""
        succession = self._taking.succession
        try:
            if succession.needs_whole(found.origin, found.status == GONE):
                await self._take_whole(found)
                found = await self._call(found.parent)
                self._check(found)
                if found.status != 200:
                    raise Refused(Refusal.FAULTY)
        except (*FAULTS, BadList, Refused) as error:
            self.close(found)
            self.refuse(found.parent, error)
            return None
        succession.resumed(found.origin)
        return found

    async def speaks(self, fresh: Call) -> bool:
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
            trial = await call(fresh.parent, revision, None)
            with trio.move_on_after(SILENCE_S):
                async for _ in trial.lines():
                    return True
        except (*FAULTS, BadList) as error:
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
        if why is not Refusal.STALE and self._told.get(parent) != repr(error):
            self._told[parent] = repr(error)
            events.parent_refused(address=format_address(parent.address), why=why.value, error=error)

    def close(self, found: Call) -> None:
        """At once, whatever is under way."""
        self._open.discard(found)
        found.close()

    def close_all(self, but: Call | None = None) -> None:
        """All calls that are open."""
        for found in list(self._open):
            if found is not but:
                self.close(found)

    async def _call(self, parent: Parent, whole: bool = False) -> Call:
        succession = self._taking.succession
        position = None if whole else succession.position
        revision = None if position is None else position.revision
        found = await call(parent, revision, succession.incarnation)
        self._open.add(found)
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
            if self._taking.succession.behind(found.origin, gone or found.status == GONE):
                raise Refused(Refusal.BEHIND)
        except Refused:
            self.close(found)
            raise

    async def _take_whole(self, found: Call) -> None:
        """Closes that call, and asks for the whole list if it is a watch. Raises FAULTS, BadList, Refused."""
        try:
            if found.revision is not None:
                self.close(found)
                gone = found.status == GONE
                found = await self._call(found.parent, whole=True)
                self._check(found, gone)
            if found.status != 200:
                raise Refused(Refusal.FAULTY)
            verdict = await self._taking.take(found, await found.whole(), 0)
            if verdict in (Verdict.BEHIND, Verdict.INCOMPLETE):
                raise Refused(Refusal.BEHIND)
        finally:
            self.close(found)
        self._taking.renew(trio.current_time() if found.greeting.source else found.renewed_at_s)
