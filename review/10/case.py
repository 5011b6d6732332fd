"""A push server drains, and stops; its clients have to be told to move before."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as lab  # noqa: E402

SERVERS, RELAYS = 6, 2
STANDING = 300
DRAIN_S = 4.0  # the site gives 3.3 to 5.3 s, the table of troubles 2 to 6 s
MOVE_INTERVAL_S = 0.25  # the server sends its clients away bit by bit


async def play(record: lab.Record, folder: Path) -> int:
    config = lab.settings("pass", RELAYS, [lab.request_class("trip-watch", 3)])
    fleet = await lab.Fleet.start(record, folder, config, SERVERS)
    try:
        await fleet.open(STANDING, 0.02)
        await asyncio.sleep(2)
        server = fleet.servers[0]
        if lab.trouble():
            await drain(fleet, server)
        await asyncio.sleep(3)
        return judge(record, fleet.clients, server)
    finally:
        await fleet.end()


async def drain(fleet: lab.Fleet, server: lab.PushServer) -> None:
    """Drains the server: it takes nothing new, sends clients away one by one, and stops."""
    server.drains = True
    fleet.discovery.tell(server.host, server.dial, "terminating")
    for _ in range(round(DRAIN_S / MOVE_INTERVAL_S)):
        await asyncio.sleep(MOVE_INTERVAL_S)
        if server.connections:
            await server.send_away(min(server.connections, key=lambda connection: connection.id))
    server.die()
    fleet.discovery.tell(server.host, server.dial, "terminated")


def judge(record: lab.Record, clients: lab.Clients, server: lab.PushServer) -> int:
    held = [client for client in clients.all if client.host == server.host]
    ended = [client for client in held if client.end in ("fin", "reset")]
    cut = [client for client in ended if not client.was_moved]
    record.say(f"held {len(held)}, ended {len(ended)}, not told to move before {len(cut)}")
    return lab.BROKEN if cut else lab.HELD


if __name__ == "__main__":
    lab.run_case(play, FOLDER)
