"""A planned restart of a relay at which connections end, while some push servers hang."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as lab  # noqa: E402

SERVERS, RELAYS, HUNG = 6, 2, 2  # a quarter to a half of the push servers hang
STANDING = 480
REST_AFTER_S = 0.15  # lines come in pieces
KILL_AFTER_S = 3.7  # the longest deadline, 3 s, plus 0.7 s


async def play(record: lab.Record, folder: Path) -> int:
    config = lab.settings("proxy", RELAYS, [lab.request_class("trip-watch", 3)])
    fleet = await lab.Fleet.start(record, folder, config, SERVERS, REST_AFTER_S)
    try:
        await fleet.open(STANDING, 0.02)
        await asyncio.sleep(3)
        for server in fleet.servers[:HUNG] if lab.trouble() else []:
            server.is_hung = True
            record.add("hangs", host=server.host)
        relay = fleet.relays[0]
        record.add("sigterm", relay=relay.name)
        relay.admitted = False
        relay.signal(signal.SIGTERM)
        await asyncio.sleep(KILL_AFTER_S)
        await relay.end()
        record.add("sigkill", relay=relay.name)
        await asyncio.sleep(0.3)
        return judge(record, fleet.clients, relay)
    finally:
        await fleet.end()


def judge(record: lab.Record, clients: lab.Clients, relay: lab.Relay) -> int:
    standing = [client for client in clients.all if client.is_up and client.relay == relay.address]
    cut = [client for client in standing if not client.was_moved]
    record.say(f"standing at the relay {len(standing)}, without MOVE {len(cut)}")
    for client in cut:
        record.say(f"cut: {client.id} at {client.host}, {client.end} after {client.rest!r}")
    return lab.BROKEN if cut else lab.HELD if standing else lab.NOT_RUN


if __name__ == "__main__":
    lab.run_case(play, FOLDER / "record.txt")
