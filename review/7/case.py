"""A push server becomes slow; a client that a relay moves off it has to be sent MOVE."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as lab  # noqa: E402

SERVERS, RELAYS = 8, 2  # one of eight push servers is slow
STANDING = 320  # connections before the trouble
NEW_PER_S = 9.0
TROUBLE_S = 50.0
UP_AFTER_S = 0.4  # the slow server's time for a set-up, within the 500 ms that the brief wants
REST_AFTER_S = 0.8  # its time between the two pieces of a line, under the second of the rule


async def play(record: lab.Record, folder: Path) -> int:
    classes = [lab.request_class("trip-watch", 3), lab.request_class("driver-feed", 2)]
    config = lab.settings("pass", RELAYS, classes)
    config["extra"]["message_aim_us"] = [250_000.0, 60_000.0]
    fleet = await lab.Fleet.start(record, folder, config, SERVERS)
    try:
        await fleet.open(STANDING, 0.02)
        await asyncio.sleep(2)
        slow = fleet.servers[0]
        if lab.trouble():
            slow.up_after_s, slow.rest_after_s = UP_AFTER_S, REST_AFTER_S
            record.add("trouble", slow=slow.host)
        await fleet.open(round(NEW_PER_S * TROUBLE_S), 1 / NEW_PER_S)
        return judge(record, fleet.clients)
    finally:
        await fleet.end()


def judge(record: lab.Record, clients: lab.Clients) -> int:
    """No server ends a connection here, so each that ended was ended by its relay."""
    up = [client for client in clients.all if client.is_up]
    ended = [client for client in up if client.end in ("fin", "reset")]
    cut = [client for client in ended if not client.was_moved]
    record.say(f"up {len(up)}, ended by a relay {len(ended)}, without MOVE {len(cut)}")
    for client in cut:
        record.say(
            f"cut: {client.id} at {client.host}, {client.end} after {client.lines_sent} lines sent "
            f"and {len(client.lines)} returned, then {client.rest!r}"
        )
    return lab.BROKEN if cut else lab.HELD if up else lab.NOT_RUN


if __name__ == "__main__":
    lab.run_case(play, FOLDER / "record.txt")
