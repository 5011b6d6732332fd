"""Lists of servers in discovery's form, for tests of replication."""

import json
from typing import Any

import h11

from glenfold.rules.replication import ListDocument, Position


def server(number: int, health: str = "in_service", share: float = 1.0) -> dict[str, Any]:
    return {"host": f"s-{number}", "dial": f"127.0.0.1:{1000 + number}", "health": health, "share": share}


def whole(revision: int, *numbers: int, incarnation: int = 0) -> ListDocument:
    return ListDocument(Position(incarnation, revision), True, tuple(map(server, numbers)))


def change(revision: int, *entries: dict[str, Any], incarnation: int = 0) -> ListDocument:
    return ListDocument(Position(incarnation, revision), False, entries or (server(revision),))


def decode_lines(chunks: bytes) -> list[dict[str, Any]]:
    """Returns the documents in the chunks of a watch, as decoded by the HTTP parser of h11."""
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    client.send(h11.EndOfMessage())
    client.receive_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks)
    body = b""
    while (event := client.next_event()) is not h11.NEED_DATA:
        body += bytes(event.data) if isinstance(event, h11.Data) else b""
    return [json.loads(line) for line in body.split(b"\n") if line]


class Child:
    """The server list of a relay that applies the documents sent to it in order."""

    def __init__(self) -> None:
        self.revision = -1
        self.servers: dict[str, dict[str, Any]] = {}

    def apply(self, document: dict[str, Any]) -> None:
        assert document["whole"] or document["seq"] > self.revision
        if document["whole"]:
            self.servers = {}
        for entry in document["hosts"]:
            if entry["health"] == "terminated":
                self.servers.pop(entry["host"], None)
            else:
                self.servers[entry["host"]] = entry
        self.revision = document["seq"]
