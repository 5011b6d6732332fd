"""A relay is killed, and comes back while discovery is down; a push server drains meanwhile."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as lab  # noqa: E402

SERVERS, RELAYS = 6, 2
NEW_PER_S = 20
DOWN_S = 8.0  # discovery
GRACE_S, SLACK_S = 2.0, 0.05


async def play(record: lab.Record, folder: Path) -> int:
    config = lab.settings("pass", RELAYS, [lab.request_class("trip-watch", 3)])
    fleet = await lab.Fleet.start(record, folder, config, SERVERS)
    load = asyncio.create_task(fleet.open(20 * NEW_PER_S, 1 / NEW_PER_S))
    try:
        await asyncio.sleep(2)
        server, relay = fleet.servers[0], fleet.relays[1]
        relay.know(fleet.discovery.whole())
        record.add("kill", relay=relay.name)
        await relay.end()
        await asyncio.sleep(0.5)
        server.drains = True
        fleet.discovery.tell(server.host, server.dial, "terminating")
        drained_at = record.now()
        await asyncio.sleep(0.5)
        fleet.discovery.is_silent = lab.trouble()
        record.add("discovery-down", down=fleet.discovery.is_silent)
        await asyncio.sleep(0.5)
        await relay.start()
        ready_at = record.now()
        record.add("ready", relay=relay.name)
        await asyncio.sleep(DOWN_S - (record.now() - drained_at) + 0.5)
        fleet.discovery.is_silent = False
        record.add("discovery-up")
        await load
        return judge(record, fleet.clients, server, relay, ready_at)
    finally:
        load.cancel()
        await fleet.end()


def judge(
    record: lab.Record, clients: lab.Clients, server: lab.PushServer, relay: lab.Relay, ready_at: float
) -> int:
    """The new process counts as told from its first moment, so in any case once it was ready."""
    sent_by = {client.id: client.relay for client in clients.all}
    sent = [at for at, client_id in server.attempts if sent_by[client_id] == relay.address and at > ready_at]
    late = [at for at in sent if at > ready_at + GRACE_S + SLACK_S]
    record.say(f"sent by the new process to the draining server {len(sent)}, after the grace {len(late)}")
    if late:
        record.say(f"the last {max(late) - ready_at:.3f} s after it was told")
    return lab.BROKEN if late else lab.HELD


if __name__ == "__main__":
    lab.run_case(play, FOLDER)
