"""Changes of the list of servers that come in a row, taken as one. No I/O.

A change costs the decisions a walk over the whole fleet, however few servers it names: a zone's servers that
leave one by one would stop the loop for as long as all those walks together.
"""

from linnetspread import interface as i


def merge_changes(earlier: i.ServerList, later: i.ServerList) -> i.ServerList | None:
    """One change that leads to where both lead, with what was said last of each server; None if one of them
    is a whole list or tells of a failure."""
    if earlier.kind is not i.ListKind.DELTA or later.kind is not i.ListKind.DELTA:
        return None
    lines = {line.server: line for line in earlier.servers}
    for line in later.servers:
        lines.pop(line.server, None)
        lines[line.server] = line
    return i.ServerList(i.ListKind.DELTA, later.version, tuple(lines.values()))
