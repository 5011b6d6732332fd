"""Entries of server lists: each ends in a typed value or in the reader's own error, whatever it holds."""

import json
import math
import re
from pathlib import Path
from typing import Any

import pytest
import relaying
from hypothesis import given
from hypothesis import strategies as st
from relaying import entry, whole

from glenfold.destinations import BadList, DestinationSet
from glenfold.list_entry import MAX_BORN_MS, MAX_SHARE, MAX_WHOLE_NUMBER, BadEntry, read_entry, server_number
from glenfold.rules.snapshots import Content, Owner, decode, encode

HALF_PAIR = "s-\ud800"
NESTED = json.loads("[" * 400 + "]" * 400)
EXTREME_NUMBERS = st.sampled_from(
    [math.nan, math.inf, -math.inf, 1e308, -1e308, 5e-324, -0.0, 10**400, -(10**400), 1 << 63, -1, True]
)
VALUES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | EXTREME_NUMBERS
    | st.text(max_size=20)
    | st.sampled_from(
        [HALF_PAIR, "\0", "9" * 5000, "127.0.0..1:9", "[::1]:0", "a" * 64 + ":9", {}, [], NESTED]
    )
)
SOUND = entry("s-0", "127.0.0.1:9")
ENTRIES = st.fixed_dictionaries({}, optional={key: st.just(SOUND[key]) | VALUES for key in SOUND}) | VALUES
LISTS = st.fixed_dictionaries(
    {},
    optional={
        "seq": st.integers(0, 9) | VALUES,
        "whole": st.booleans() | VALUES,
        "hosts": st.lists(ENTRIES | st.just(SOUND), max_size=4) | VALUES,
    },
)


@given(ENTRIES)
def test_an_entry_is_read_or_refused_by_the_readers_own_error(raw: Any) -> None:
    try:
        read = read_entry(raw)
    except BadEntry:
        return
    assert read.host.encode() and 0 <= read.cell <= MAX_WHOLE_NUMBER
    assert 0 <= read.started_us <= MAX_WHOLE_NUMBER and abs(read.share) <= MAX_SHARE


# Guards against a list that ends the process or its snapshots, or that is taken though it can't be used.
@given(st.lists(LISTS, max_size=4))
def test_any_list_is_read_or_refused_and_what_is_kept_can_be_written_and_restored(
    tmp_path_factory: pytest.TempPathFactory, documents: list[Any]
) -> None:
    names = relaying.config(tmp_path_factory.getbasetemp()).names
    destinations = DestinationSet(names)
    destinations.read(whole(SOUND))
    for document in documents:
        before = destinations.state()
        try:
            destinations.read(document)
        except BadList:
            assert destinations.state() == before
    owner = Owner("fleet", "relay")
    snapshot = decode(b"".join(encode(Content(owner, 1, 0.0, destinations.state(), None), 1 << 24)), owner)
    restored = DestinationSet(names)
    restored.restore(snapshot.document, snapshot.left)
    assert restored.state() == destinations.state() and not restored.problems


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"host": HALF_PAIR}, "its host has characters that can't be encoded"),
        ({"host": ""}, "it has no host"),
        ({"host": 7}, "its host is not a text"),
        ({"dial": "127.0.0..1:9"}, r"s-7.* its dial '127.0.0..1:9' is not HOST:PORT"),
        ({"site": HALF_PAIR}, r"\(s-7\) is left out: its site has characters that can't be encoded"),
        ({"health": "odd"}, "its health is not one of in_service, terminating, terminated"),
        ({"share": 1e13}, r"its share is not within 1e\+12"),
        ({"block": -1}, "its block is not from 0 to"),
        ({"born_ms": MAX_BORN_MS + 1}, "its born_ms is not from 0 to"),
        ({"born_ms": "9" * 5000}, "its born_ms is not a whole number"),
    ],
)
def test_an_entry_that_is_left_out_is_named_by_its_place_its_host_and_what_is_wrong(
    tmp_path: Path, change: dict[str, object], message: str
) -> None:
    destinations = DestinationSet(relaying.config(tmp_path).names)
    destinations.read(whole(entry("s-0"), entry("s-7", "127.0.0.1:7")))
    destinations.read({"seq": 2, "whole": False, "hosts": [entry("s-0"), entry("s-7") | change]})
    (problem,) = destinations.problems
    assert problem.startswith("entry 1") and re.search(message, problem)
    assert destinations.address(server_number("s-7")) == ("127.0.0.1", 7)


@pytest.mark.parametrize(
    "document",
    [
        7,
        {"seq": 2, "whole": True, "hosts": {}},
        {"seq": 2, "whole": True, "hosts": "s-0"},
        {"seq": 2, "hosts": []},
        {"seq": 10**400, "whole": True, "hosts": []},
        {"seq": -1, "whole": True, "hosts": []},
        {"seq": math.inf, "whole": True, "hosts": []},
    ],
)
def test_a_list_of_another_form_is_refused_whole(tmp_path: Path, document: object) -> None:
    destinations = DestinationSet(relaying.config(tmp_path).names)
    destinations.read(whole(SOUND))
    with pytest.raises(BadList):
        destinations.read(document)
    assert destinations.count == 1 and destinations.version == 1
