"""The documents that a follower accepted from its parents, and the lease on them."""

from collections.abc import Awaitable, Callable

import trio

from glenfold import events
from glenfold.replica.parent_watch import Body, Call
from glenfold.rules.replication import ListDocument, Publisher
from glenfold.rules.source_lease import LEASE_S, SourceLease
from glenfold.rules.succession import Received, Succession, Verdict

# How long after the end of the lease the follower checks whether the lease has run out.
LEASE_CHECK_DELAY_S = 0.01

AfterPublish = Callable[[], Awaitable[None]]


class AcceptedLists:
    """Publishes each newer document, one at a time, and each renewal by the source.

    `after_publish` is awaited after each published document.
    """

    def __init__(self, succession: Succession, publisher: Publisher, after_publish: AfterPublish) -> None:
        self.succession = succession
        self.lease = SourceLease()
        self.documents = 0  # documents accepted since the start
        self._publisher = publisher
        self._after_publish = after_publish
        self._accept_lock = trio.Lock()
        self._lease_holds = trio.Event()  # set while the lease is valid

    async def accept(
        self, call: Call, body: Body, after: int, renewed_at_s: float | None = None
    ) -> Verdict | None:
        """Publishes the document, with the parent's chain and age, unless the rules reject it.

        `after` is the revision that a change must follow. `renewed_at_s` is when the source renewed the
        document, None if that is not known. Returns None if the document was accepted, and otherwise why it
        was not.
        """
        if body.left_out:
            events.list_entry_left_out(fault=f"{body.left_out} entries are not JSON objects")
        async with self._accept_lock:
            received = Received(call.origin, body.revision, body.whole, body.entries, after)
            judged = self.succession.judge(received)
            if not isinstance(judged, ListDocument):
                return judged
            self.documents += 1
            with trio.CancelScope(shield=True):  # a cancellation must not separate these steps
                self._publisher.publish(judged, call.header.via)
                if renewed_at_s is not None:
                    self.renew(renewed_at_s)
                await self._after_publish()
        await trio.lowlevel.checkpoint_if_cancelled()
        return None

    def renew(self, renewed_at_s: float) -> None:
        """Records that the source renewed the list at `renewed_at_s`."""
        if not self.lease.renew(renewed_at_s):
            return
        self._publisher.renew(renewed_at_s)
        if self.lease.holds(trio.current_time()):
            self._lease_holds.set()

    def age_s(self) -> float:
        """Returns the seconds since the source last renewed the list."""
        return self.lease.age_s(trio.current_time())

    async def expire(self) -> None:
        """Reports to the publisher each time that the lease runs out, until cancelled."""
        while True:
            await self._lease_holds.wait()
            while self.lease.holds(trio.current_time()):
                await trio.sleep_until(self.lease.renewed_at_s + LEASE_S + LEASE_CHECK_DELAY_S)
            self._lease_holds = trio.Event()
            self._publisher.stale()
