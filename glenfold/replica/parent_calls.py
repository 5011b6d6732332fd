"""Calls to parents: sends them, checks the answers, and records why a parent was refused."""

from collections.abc import Sequence
from dataclasses import dataclass

import trio

from glenfold import events
from glenfold.config.address import format_address
from glenfold.config.platform import Parent
from glenfold.destinations import BadList
from glenfold.replica.accepted_lists import AcceptedLists
from glenfold.replica.parent_watch import CALL_ERRORS, GONE, Call, open_call
from glenfold.rules.parent_choice import ParentChoice, Refusal
from glenfold.rules.parent_header import ParentHeaderError
from glenfold.rules.source_lease import SILENCE_S
from glenfold.rules.succession import Verdict

# A parent whose list is at most this old counts as renewed. This is SILENCE_S rounded up to whole seconds, as
# the Age header is.
FRESH_AGE_S = 3.0

# After this time without an answer the next parent is called as well.
STAGGER_S = 0.2


class Refused(Exception):
    """Raised when the answer of a parent must not be used."""

    def __init__(self, why: Refusal, retry_after_s: float | None = None) -> None:
        super().__init__(why.value)
        self.why = why
        self.retry_after_s = retry_after_s


@dataclass(frozen=True, slots=True)
class Answer:
    """The outcome of a call to one parent.

    `call` is None if the parent was refused. The receiver sets `handled`, which lets the next parent be
    called.
    """

    call: Call | None
    handled: trio.Event


class ParentCalls:
    """Opens and closes the calls of one follower.

    `name` is the name of this replica, which must not appear in a parent's Via chain, or None if the follower
    is not a replica.
    """

    def __init__(self, choice: ParentChoice, lists: AcceptedLists, name: str | None) -> None:
        self._choice = choice
        self._lists = lists
        self._name = name
        self._open: set[Call] = set()
        self._last_reported: dict[Parent, str] = {}  # the last logged error of each parent
        self.behind: set[Parent] = set()  # parents refused as behind since the set was last cleared
        self.refused = dict.fromkeys(Refusal, 0)  # refusals by cause since the start

    def forget_reported(self) -> None:
        """Forgets which errors were logged, because the parents have changed."""
        self._last_reported.clear()

    async def ask_all(self, parents: Sequence[Parent], send: trio.MemorySendChannel[Answer]) -> None:
        """Calls the parents in order and sends each answer to `send`.

        A parent is called once the answer of the previous one was handled, or after STAGGER_S beside it: the
        previous parent may be on a machine that has vanished.
        """
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
        """Requests a watch from the known revision. Returns None if the parent was refused."""
        try:
            call = await self._open_call(parent)
            self._check(call)
        except (*CALL_ERRORS, Refused) as error:
            self.refuse(parent, error)
            return None
        return call

    async def adopt(self, call: Call) -> Call | None:
        """Returns a watch to hold, or None if the parent was refused.

        The whole list is read first if changes alone would not do.
        """
        succession = self._lists.succession
        try:
            if succession.needs_whole_list(call.origin, call.status == GONE):
                await self._accept_whole_list(call)
                call = await self._open_call(call.parent)
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
        """Returns whether the source renews the list of this parent.

        A source sends no age. A local agent that is cut off from discovery still answers a watch but sends no
        line afterwards, so the first line of a trial watch is awaited.
        """
        if fresh.header.age_s > FRESH_AGE_S:
            return False
        if not fresh.header.is_source:
            return True
        trial_call = None
        try:
            list_call = await self._open_call(fresh.parent, whole=True)
            revision = (await list_call.read_list()).revision
            self.close(list_call)
            trial_call = await open_call(fresh.parent, revision, None)
            with trio.move_on_after(SILENCE_S):
                async for _ in trial_call.lines():
                    return True
        except (*CALL_ERRORS, BadList) as error:
            self.refuse(fresh.parent, error)
        finally:
            if trial_call is not None:
                trial_call.close()
        return False

    def refuse(self, parent: Parent, error: Exception) -> None:
        """Records the refusal of a parent. Repeats of the same error in a row are logged once."""
        why = Refusal.FAULTY if isinstance(error, BadList | ParentHeaderError) else Refusal.UNREACHABLE
        retry_after_s = None
        if isinstance(error, Refused):
            why, retry_after_s = error.why, error.retry_after_s
        if why is Refusal.BEHIND:
            self.behind.add(parent)
        self.refused[why] += 1
        self._choice.record_refusal(parent, why, trio.current_time(), retry_after_s)
        if why is not Refusal.STALE and self._last_reported.get(parent) != repr(error):
            self._last_reported[parent] = repr(error)
            events.parent_refused(address=format_address(parent.address), why=why.value, error=error)

    def close(self, call: Call) -> None:
        """Closes the call at once, even while it is in use."""
        self._open.discard(call)
        call.close()

    def close_all(self, but: Call | None = None) -> None:
        """Closes all open calls except `but`."""
        for call in list(self._open):
            if call is not but:
                self.close(call)

    async def _open_call(self, parent: Parent, whole: bool = False) -> Call:
        succession = self._lists.succession
        position = None if whole else succession.position
        revision = None if position is None else position.revision
        call = await open_call(parent, revision, succession.incarnation)
        self._open.add(call)
        return call

    def _check(self, call: Call, gone: bool = False) -> None:
        """Raises Refused, after closing the call, if its answer must not be used.

        `gone` is True if the previous call to this parent was answered 410.
        """
        try:
            if call.status == 503:
                raise Refused(Refusal.BUSY, call.header.retry_after_s)
            if call.status not in (200, GONE):
                raise Refused(Refusal.FAULTY)
            if self._name is not None and self._name in call.header.via:
                raise Refused(Refusal.LOOP)
            if self._lists.succession.is_behind(call.origin, gone or call.status == GONE):
                raise Refused(Refusal.BEHIND)
        except Refused:
            self.close(call)
            raise

    async def _accept_whole_list(self, call: Call) -> None:
        """Reads the whole list, over a new call if the given one is a watch. The given call is closed.

        Raises CALL_ERRORS, BadList and Refused.
        """
        try:
            if call.revision is not None:
                self.close(call)
                gone = call.status == GONE
                call = await self._open_call(call.parent, whole=True)
                self._check(call, gone)
            if call.status != 200:
                raise Refused(Refusal.FAULTY)
            body = await call.read_list()
            renewed_at_s = trio.current_time() if call.header.is_source else call.renewed_at_s
            verdict = await self._lists.accept(call, body, 0, renewed_at_s)
            if verdict in (Verdict.BEHIND, Verdict.INCOMPLETE):
                raise Refused(Refusal.BEHIND)
            self._lists.renew(renewed_at_s)  # also for a list that was known already
        finally:
            self.close(call)
