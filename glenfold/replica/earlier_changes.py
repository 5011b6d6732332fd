"""Reads the changes that precede a replica's first list from one of its parents."""

from collections.abc import Sequence

from glenfold.config.platform import Parent
from glenfold.destinations import BadList
from glenfold.replica.parent_watch import CALL_ERRORS, Call, open_call
from glenfold.rules.replication import ListDocument, Position

OK = 200


async def earlier_changes(parent: Parent, since: int, upto: Position) -> Sequence[ListDocument]:
    """Returns the changes after revision `since` up to the position `upto`.

    The result is empty if the parent's history does not go back that far, if the parent has merged these
    changes with later ones, or if the request fails. The changes are read over a separate call, which is
    closed afterwards.
    """
    try:
        call = await open_call(parent, since, upto.incarnation)
    except CALL_ERRORS:
        return ()
    try:
        return await _read(call, upto) if call.status == OK else ()
    except (*CALL_ERRORS, BadList):
        return ()
    finally:
        call.close()


async def _read(call: Call, upto: Position) -> Sequence[ListDocument]:
    changes: list[ListDocument] = []
    async for body in call.lines():
        if body is None or body.whole or body.revision > upto.revision:
            break
        position = Position(upto.incarnation, body.revision)
        changes.append(ListDocument(position, False, body.entries))
        if position == upto:
            return changes
    return ()
