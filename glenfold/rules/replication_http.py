"""Requests to a replica and the heads of its responses, in discovery's form of HTTP/1.1, without I/O."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

import h11

from glenfold.rules.replication import (
    AGE_FIELD,
    CHILDREN_FIELD,
    INCARNATION_FIELD,
    VIA_FIELD,
    VIA_PROTOCOL,
    Position,
)

PATH = "/v1/servers"
MAX_REQUEST_BYTES = 8 * 1024  # The limit holds for the request line with all header fields.
MAX_REVISION = 2**63 - 1
RENEWAL_CHUNK = b"1\r\n\n\r\n"  # An empty line means that the source confirmed the list without changes.
LAST_CHUNK = b"0\r\n\r\n"


class RequestError(Exception):
    """Raised for a request that is answered with an error status.

    `retry_after_s` is the delay in seconds before a retry, None if a retry does not help.
    """

    def __init__(self, status: HTTPStatus, reason: str, retry_after_s: int | None = None) -> None:
        super().__init__(f"{status.value} {status.phrase}: {reason}")
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


@dataclass(frozen=True, slots=True)
class WholeListRequest:
    """A request for the whole list: GET /v1/servers"""


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """A request for a watch: GET /v1/servers?watch=1&from=REVISION

    `incarnation` is that of the revision, None if the child gives none.
    """

    revision: int
    incarnation: int | None


def read_request(request: h11.Request) -> WholeListRequest | WatchRequest:
    """Parses a request. Raises RequestError."""
    if request.method != b"GET":
        raise RequestError(HTTPStatus.METHOD_NOT_ALLOWED, "the method must be GET")
    if request.http_version != b"1.1":
        raise RequestError(HTTPStatus.BAD_REQUEST, "the version must be HTTP/1.1")
    try:
        target = urlsplit(request.target.decode("ascii"))
        query = parse_qs(target.query, keep_blank_values=True, max_num_fields=8)
    except ValueError as error:
        raise RequestError(HTTPStatus.BAD_REQUEST, f"target: {error}") from error
    if target.path != PATH:
        raise RequestError(HTTPStatus.NOT_FOUND, f"the only path is {PATH}")
    if query.get("watch", ["0"]) == ["0"]:
        return WholeListRequest()
    if query["watch"] != ["1"]:
        raise RequestError(HTTPStatus.BAD_REQUEST, "watch is neither 0 nor 1")
    return WatchRequest(_count("from", query.get("from", ["0"])), _incarnation(request))


def _incarnation(request: h11.Request) -> int | None:
    name = INCARNATION_FIELD.lower().encode()
    values = [value.decode("latin-1") for field, value in request.headers if field == name]
    return _count(INCARNATION_FIELD, values) if values else None


def _count(name: str, values: Sequence[str]) -> int:
    if len(values) != 1 or not values[0].isascii() or not values[0].isdigit() or len(values[0]) > 19:
        raise RequestError(HTTPStatus.BAD_REQUEST, f"{name} is not one whole number")
    if (count := int(values[0])) > MAX_REVISION:
        raise RequestError(HTTPStatus.BAD_REQUEST, f"{name} is above {MAX_REVISION}")
    return count


@dataclass(frozen=True, slots=True)
class ListStatus:
    """The status of the served list, sent in the header fields of each response.

    `age_s` is the time since the source renewed the list, None if it was never renewed at this replica. `via`
    names the replicas from the source on, including this one. `children` is the number of open watches.
    """

    position: Position
    age_s: float | None
    via: tuple[str, ...]
    children: int

    def fields(self) -> list[str]:
        """Returns the header fields as lines."""
        fields = [f"{INCARNATION_FIELD}: {self.position.incarnation}"]
        if self.age_s is not None:
            fields.append(f"{AGE_FIELD}: {math.ceil(self.age_s)}")  # Rounded up, so as never to seem fresher.
        fields.append(f"{VIA_FIELD}: {', '.join(f'{VIA_PROTOCOL} {name}' for name in self.via)}")
        fields.append(f"{CHILDREN_FIELD}: {self.children}")
        return fields


def _head(status: HTTPStatus, fields: Sequence[str]) -> bytes:
    lines = [f"HTTP/1.1 {status.value} {status.phrase}", *fields, "", ""]
    return "\r\n".join(lines).encode("latin-1")


def whole_list_head(list_status: ListStatus, size: int) -> bytes:
    """Returns the head of a response with a body of `size` bytes; the connection is kept open after it."""
    fields = ["Content-Type: application/json", f"Content-Length: {size}", *list_status.fields()]
    return _head(HTTPStatus.OK, fields)


def watch_head(list_status: ListStatus) -> bytes:
    """Returns the head of the response to a watch, whose connection is closed after the watch."""
    fields = ["Content-Type: application/json", "Transfer-Encoding: chunked", "Connection: close"]
    return _head(HTTPStatus.OK, [*fields, *list_status.fields()])


def error_response(error: RequestError, list_status: ListStatus | None = None) -> bytes:
    """Returns the complete response for an error; the connection is closed after it.

    `list_status` is None before the first list.
    """
    fields = ["Content-Length: 0", "Connection: close", *(list_status.fields() if list_status else ())]
    if error.status is HTTPStatus.METHOD_NOT_ALLOWED:
        fields.append("Allow: GET")
    if error.retry_after_s is not None:
        fields.append(f"Retry-After: {error.retry_after_s}")
    return _head(error.status, fields)
