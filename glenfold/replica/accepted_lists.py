"""What a follower knows: the documents it took from parents, and until when they hold."""

from collections.abc import Awaitable, Callable

import trio

from glenfold import events
from glenfold.replica.parent_watch import Body, Call
from glenfold.rules.replication import ListDocument, Publisher
from glenfold.rules.source_lease import LEASE_S, SourceLease
from glenfold.rules.succession import Received, Succession, Verdict

LEASE_CHECK_DELAY_S = 0.01  # until it is looked whether the lease has run out

AfterPublish = Callable[[], Awaitable[None]]


class AcceptedLists:
    """Publishes what is newer, one document after the other, and what the source renewed. `settled` is
    awaited after each document that was published."""

    def __init__(self, succession: Succession, publisher: Publisher, after_publish: AfterPublish) -> None:
        self.succession = succession
        self.lease = SourceLease()
        self.documents = 0  # taken since the start
        self._publisher = publisher
        self._after_publish = after_publish
        self._accept_lock = trio.Lock()
        self._lease_holds = trio.Event()  # the lease holds

    async def accept(self, call: Call, body: Body, after: int) -> Verdict | None:
        """Why it was not taken, if it was not. `after`: the revision whose successor a change is."""
        if body.left_out:
            events.list_entry_left_out(fault=f"{body.left_out} entries are no objects")
        async with self._accept_lock:
            received = Received(call.origin, body.revision, body.whole, body.entries, after)
            verdict = self.succession.judge(received)
            if not isinstance(verdict, ListDocument):
                return verdict
            self.documents += 1
            with trio.CancelScope(shield=True):  # what is published is settled, whatever cuts in
                self._publisher.publish(verdict)
                await self._after_publish()
        await trio.lowlevel.checkpoint_if_cancelled()
        return None

    def renew(self, renewed_at_s: float) -> None:
        """The source said then that what is known holds."""
        if not self.lease.renew(renewed_at_s):
            return
        self._publisher.renew(renewed_at_s)
        if self.lease.holds(trio.current_time()):
            self._lease_holds.set()

    def age_s(self) -> float:
        """Since the source last renewed."""
        return self.lease.age_s(trio.current_time())

    async def expire(self) -> None:
        """Tells each time that the lease has run out, until it is cancelled."""
        while True:
            await self._lease_holds.wait()
            while self.lease.holds(trio.current_time()):
                await trio.sleep_until(self.lease.renewed_at_s + LEASE_S + LEASE_CHECK_DELAY_S)
            self._lease_holds = trio.Event()
            self._publisher.stale()
