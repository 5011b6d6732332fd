"""Requests to a replica and the heads of its responses: HTTP/1.1 in discovery's form, without I/O."""

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
MAX_REQUEST_BYTES = 8 * 1024  # a request line with its header fields
MAX_REVISION = 2**63 - 1
RENEWAL_CHUNK = b"1\r\n\n\r\n"  # the empty line: nothing changed, and the source said so
LAST_CHUNK = b"0\r\n\r\n"


class RequestError(Exception):
    """A request that is answered with an error. `retry_after_s`: when it may be made again, if that helps."""

    def __init__(self, status: HTTPStatus, reason: str, retry_after_s: int | None = None) -> None:
        super().__init__(f"{status.value} {status.phrase}: {reason}")
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


@dataclass(frozen=True, slots=True)
class WholeListRequest:
    """GET /v1/servers"""


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """GET /v1/servers?watch=1&from=REVISION. `incarnation`: which one the child counts in, None if it does
    not say."""

    revision: int
    incarnation: int | None


def read_request(request: h11.Request) -> WholeListRequest | WatchRequest:
    """Raises Refusal."""
    if request.method != b"GET":
        raise RequestError(HTTPStatus.METHOD_NOT_ALLOWED, "GET only")
    if request.http_version != b"1.1":
        raise RequestError(HTTPStatus.BAD_REQUEST, "HTTP/1.1 only")
    try:
        target = urlsplit(request.target.decode("ascii"))
        query = parse_qs(target.query, keep_blank_values=True, max_num_fields=8)
    except ValueError as error:
        raise RequestError(HTTPStatus.BAD_REQUEST, f"target: {error}") from error
    if target.path != PATH:
        raise RequestError(HTTPStatus.NOT_FOUND, f"there is {PATH} only")
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
    """What each answer tells of the list beside it. `age_s`: since the source renewed it, None if it never
    did here; `via`: the replicas from the source on, this one included; `children`: who watch here."""

    position: Position
    age_s: float | None
    via: tuple[str, ...]
    children: int

    def fields(self) -> list[str]:
        fields = [f"{INCARNATION_FIELD}: {self.position.incarnation}"]
        if self.age_s is not None:
            fields.append(f"{AGE_FIELD}: {math.ceil(self.age_s)}")  # never fresher than it is
        fields.append(f"{VIA_FIELD}: {', '.join(f'{VIA_PROTOCOL} {name}' for name in self.via)}")
        fields.append(f"{CHILDREN_FIELD}: {self.children}")
        return fields


def _head(status: HTTPStatus, fields: Sequence[str]) -> bytes:
    lines = [f"HTTP/1.1 {status.value} {status.phrase}", *fields, "", ""]
    return "\r\n".join(lines).encode("latin-1")


def whole_list_head(source: ListStatus, size: int) -> bytes:
    """Of an answer with a body of so many bytes; the connection is kept for the next request."""
    fields = ["Content-Type: application/json", f"Content-Length: {size}", *source.fields()]
    return _head(HTTPStatus.OK, fields)


def watch_head(source: ListStatus) -> bytes:
    """Of a watch, whose connection ends with it."""
    fields = ["Content-Type: application/json", "Transfer-Encoding: chunked", "Connection: close"]
    return _head(HTTPStatus.OK, [*fields, *source.fields()])


def error_response(error: RequestError, source: ListStatus | None = None) -> bytes:
    """The whole response; the connection ends with it. `source`: None before the first list."""
    fields = ["Content-Length: 0", "Connection: close", *(source.fields() if source else ())]
    if error.status is HTTPStatus.METHOD_NOT_ALLOWED:
        fields.append("Allow: GET")
    if error.retry_after_s is not None:
        fields.append(f"Retry-After: {error.retry_after_s}")
    return _head(error.status, fields)
