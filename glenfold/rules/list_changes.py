"""Merging of consecutive changes of the server list. No I/O.

A change costs the decisions a pass over the whole fleet, however few servers it names. If the servers of a
zone left one by one, the event loop would be blocked for as long as all those passes together.
"""

from linnetspread import interface


def merge_changes(earlier: interface.ServerList, later: interface.ServerList) -> interface.ServerList | None:
    """Returns one change with the effect of both, which has the last entry of each server.

    The result is None if one of the two is a whole list or reports a failure.
    """
    if earlier.kind is not interface.ListKind.DELTA or later.kind is not interface.ListKind.DELTA:
        return None
    lines = {line.server: line for line in earlier.servers}
    for line in later.servers:
        lines.pop(line.server, None)
        lines[line.server] = line
    return interface.ServerList(interface.ListKind.DELTA, later.version, tuple(lines.values()))
