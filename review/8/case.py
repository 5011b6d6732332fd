"""A fleet of 3,200 push servers loses a zone, which returns cold; the other zone's lines have to flow."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as lab  # noqa: E402

SERVERS, RELAYS = 3200, 2  # the most push servers of the pages; two of the fleet's relays run here
RELAYS_OF_FLEET = 200
SHARES = 6.0, 8.0, 12.0  # the machines' cores: `share` has no unit
SITES = "cardiff", "wrexham"
PORTS_OF_SITE = 4  # 400 push servers of the stand-in share a port
STANDING = 200
LOST_S, NOTICE_S = 5.0, 1.5  # the zone is lost for 5 s; discovery notices after 1.1 to 4.2 s
HELD_BACK_S, SLACK_S = 1.0, 0.05
LATE_S = 0.5  # an answer later than this after the client's time is a lost request
MAX_LAG_S = 0.3  # a script that is held up itself shows nothing


class Lateness:
    """The longest time by which this script itself was late."""

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def watch(self) -> None:
        """Measures until cancelled."""
        while True:
            due = time.monotonic() + 0.02
            await asyncio.sleep(0.02)
            self.longest_s = max(self.longest_s, time.monotonic() - due)


class World:
    """The push servers of both sites, and the clients that come all the time."""

    def __init__(self, record: lab.Record, folder: Path) -> None:
        self.record = record
        self.discovery = lab.Discovery(record)
        self.ports = {
            site: [lab.PushServer(f"{site}{n}", record) for n in range(PORTS_OF_SITE)] for site in SITES
        }
        self.folder = folder

    async def start(self) -> lab.Fleet:
        """Starts everything and returns the fleet."""
        await self.discovery.start()
        for servers in self.ports.values():
            for server in servers:
                await server.start()
        for site in SITES:
            self.discovery.tell_many(self.entries(site, "in_service", 0))
        classes = [lab.request_class("trip-watch", 3), lab.request_class("driver-feed", 2)]
        config = lab.settings("pass", RELAYS_OF_FLEET, classes)
        relays = [lab.Relay(f"n{n}", self.discovery, self.folder, config) for n in range(RELAYS)]
        fleet = lab.Fleet(self.record, self.folder, self.discovery, [], relays, lab.Clients(self.record))
        try:
            await asyncio.gather(*(relay.start() for relay in relays))
        except BaseException:
            await fleet.end()
            raise
        return fleet

    def entries(self, site: str, health: str, born_ms: int) -> list[dict[str, Any]]:
        """Returns the entries of all push servers of a site."""
        numbers = range(SITES.index(site), SERVERS, len(SITES))
        return [
            {
                "host": f"s-{number * 2654435761 % 2**32:08x}",
                "dial": self.ports[site][number // 2 % PORTS_OF_SITE].dial,
                "site": site,
                "class": "mid-steady",
                "block": number // 4,
                "health": health,
                "share": SHARES[number % len(SHARES)],
                "born_ms": born_ms,
            }
            for number in numbers
        ]

    async def lose_zone(self, site: str) -> None:
        """Loses a zone for 5 s; discovery hears of its loss and of its return a little later."""
        self.record.add("zone-lost", site=site)
        for server in self.ports[site]:
            server.die()
        await asyncio.sleep(NOTICE_S)
        self.discovery.tell_many(self.entries(site, "terminated", 0))
        await asyncio.sleep(LOST_S - NOTICE_S)
        for server in self.ports[site]:
            await server.start()
        self.record.add("zone-back", site=site)
        await asyncio.sleep(NOTICE_S)
        self.discovery.tell_many(self.entries(site, "in_service", time.time_ns() // 1_000_000))


async def play(record: lab.Record, folder: Path) -> int:
    world, lateness = World(record, folder), Lateness()
    fleet = await world.start()
    watch = asyncio.create_task(lateness.watch())
    try:
        await fleet.open(STANDING, 0.02)
        await asyncio.sleep(2)
        before = len(fleet.clients.all)
        lateness.longest_s = 0.0
        loss = asyncio.create_task(world.lose_zone(SITES[1])) if lab.trouble() else None
        await fleet.open(150, 0.1)
        if loss is not None:
            await loss
        await asyncio.sleep(8)
        return judge(record, fleet.clients.all, before, lateness.longest_s)
    finally:
        watch.cancel()
        await fleet.end()


def judge(record: lab.Record, clients: list[lab.Client], before: int, lag_s: float) -> int:
    """Judges the connections of the zone that was not lost, and the requests that came during the trouble."""
    standing = [client for client in clients if client.host.startswith(SITES[0])]
    held = [client for client in standing if client.longest_trip_s > HELD_BACK_S + SLACK_S + lag_s]
    asked = clients[before:]
    late = [client for client in asked if answer_s(record, client) > client.wait_s + LATE_S + lag_s]
    longest_s = max((client.longest_trip_s for client in standing), default=0.0)
    record.say(f"connections at the sound zone {len(standing)}, with a line held back {len(held)}")
    record.say(f"the longest for {longest_s:.2f} s; requests {len(asked)}, answered too late {len(late)}")
    record.say(f"the script itself was late by up to {lag_s:.2f} s")
    if lag_s > MAX_LAG_S or not standing:
        return lab.NOT_RUN
    return lab.BROKEN if held or late else lab.HELD


def answer_s(record: lab.Record, client: lab.Client) -> float:
    """Returns the time from a request to its answer, or until now."""
    if client.end == "refused" or not client.sent_at:
        return 0.0
    return (record.now() if client.answered_at is None else client.answered_at) - client.sent_at


if __name__ == "__main__":
    lab.run_case(play, FOLDER / "record.txt")
