"""Tests of the requests to a replica, and of the header fields of its responses."""

from http import HTTPStatus

import h11
import pytest

from glenfold.rules.replication import Position
from glenfold.rules.replication_http import (
    ListStatus,
    RequestError,
    WatchRequest,
    WholeListRequest,
    error_response,
    read_request,
    watch_head,
    whole_list_head,
)


def request(target: str, method: str = "GET", **fields: str) -> h11.Request:
    headers = [("Host", "a"), *((name.replace("_", "-"), value) for name, value in fields.items())]
    return h11.Request(method=method, target=target, headers=headers)


def test_whole_lists_and_watches_are_requested_as_from_discovery():
    assert read_request(request("/v1/servers")) == WholeListRequest()
    assert read_request(request("/v1/servers?watch=1&from=17")) == WatchRequest(17, None)
    assert read_request(request("/v1/servers?watch=1")) == WatchRequest(0, None)
    named = request("/v1/servers?watch=1&from=17", Glenfold_Incarnation="3")
    assert read_request(named) == WatchRequest(17, 3)


@pytest.mark.parametrize(
    "asked, status",
    [
        (request("/v1/servers", method="POST"), HTTPStatus.METHOD_NOT_ALLOWED),
        (request("/v1/servers", method="HEAD"), HTTPStatus.METHOD_NOT_ALLOWED),
        (request("/v1/server"), HTTPStatus.NOT_FOUND),
        (request("/"), HTTPStatus.NOT_FOUND),
        (request("/v1/servers?watch=2"), HTTPStatus.BAD_REQUEST),
        (request("/v1/servers?watch=1&from=-1"), HTTPStatus.BAD_REQUEST),
        (request("/v1/servers?watch=1&from=1_0"), HTTPStatus.BAD_REQUEST),
        (request("/v1/servers?watch=1&from=x"), HTTPStatus.BAD_REQUEST),
        (request("/v1/servers?watch=1&from=1&from=2"), HTTPStatus.BAD_REQUEST),
        (request("/v1/servers?watch=1&from=" + "9" * 19), HTTPStatus.BAD_REQUEST),
        (request("/v1/servers?watch=1&from=" + "9" * 5000), HTTPStatus.BAD_REQUEST),
        (request("/v1/servers?" + "&".join(["a=1"] * 50)), HTTPStatus.BAD_REQUEST),
        (request("/v1/servers?watch=1", Glenfold_Incarnation="no"), HTTPStatus.BAD_REQUEST),
        (request("http://[/v1/servers"), HTTPStatus.BAD_REQUEST),
    ],
)
def test_an_invalid_request_is_refused_with_its_status(asked, status):
    with pytest.raises(RequestError) as refused:
        read_request(asked)
    assert refused.value.status is status


def response(data: bytes) -> h11.Response:
    client = h11.Connection(h11.CLIENT)
    client.send(request("/"))
    client.receive_data(data)
    found = client.next_event()
    assert isinstance(found, h11.Response)
    return found


def test_responses_state_position_age_via_and_children():
    source = ListStatus(Position(4, 17), 1.2, ("top", "north-1"), 340)
    expected = {
        b"glenfold-incarnation": b"4",
        b"age": b"2",
        b"via": b"1.1 top, 1.1 north-1",
        b"glenfold-children": b"340",
    }
    whole, watch = response(whole_list_head(source, 5)), response(watch_head(source))
    assert whole.status_code == watch.status_code == 200
    for headers in (dict(whole.headers), dict(watch.headers)):
        assert headers.items() >= expected.items()
    assert dict(whole.headers)[b"content-length"] == b"5"
    assert dict(watch.headers)[b"transfer-encoding"] == b"chunked"


def test_an_unknown_age_is_omitted():
    assert b"age" not in dict(response(watch_head(ListStatus(Position(0, 1), None, ("a",), 0))).headers)


def test_an_error_response_states_the_retry_delay():
    full = response(error_response(RequestError(HTTPStatus.SERVICE_UNAVAILABLE, "full", 7)))
    assert (full.status_code, dict(full.headers)[b"retry-after"]) == (503, b"7")
    source = ListStatus(Position(2, 41), 0.0, ("r-1",), 3)
    future = dict(response(error_response(RequestError(HTTPStatus.GONE, "future"), source)).headers)
    assert (future[b"via"], future[b"glenfold-incarnation"]) == (b"1.1 r-1", b"2")
    wrong = response(error_response(RequestError(HTTPStatus.METHOD_NOT_ALLOWED, "GET only")))
    assert dict(wrong.headers)[b"allow"] == b"GET" and b"retry-after" not in dict(wrong.headers)
