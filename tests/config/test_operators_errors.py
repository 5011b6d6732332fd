"""Invalid operators' files: each error names its line, its key and what would be right, all in one pass."""

import os
import resource
from pathlib import Path

import pytest
from operators_files import MINIMAL_FILE, errors_of

from glenfold.config.operators import read
from glenfold.config.tables import FileErrors

FLEET = 'instance.folder = "glen"\nfleet.instances = 3\n' + MINIMAL_FILE.replace("name", "\nname")

# Lines added to the minimal file, from line 6 on, and the start of the only error.
ERRORS_OF_ADDED_LINES = [
    ("[limits]\nsocket = 9", "7: limits.socket: unknown key; did you mean 'sockets'?"),
    ("[limits]\nsockets = true", "7: limits.sockets: expected a whole number of 48 to 1,048,576, not true"),
    ("[limits]\nsockets = 47", "7: limits.sockets: expected a whole number of 48 to 1,048,576, not 47"),
    ("[limits]\nmemory_mb = nan", "7: limits.memory_mb: expected a number of 24 to 1,048,576, not NaN"),
    ("[limits]\nmemory_mb = 1048576", "7: limits.memory_mb: lets all instances together use 1048576 MB, but"),
    (
        "[instance]\nname = 'a b'",
        "7: instance.name: 'a b' can't be part of a file name; use letters, digits, ",
    ),
    ("[[listeners.more]]", "6: listeners.more: unknown key; known are addresses"),
    ("[logging]\nlevels = {client = 'loud'}", "7: logging.levels.client: expected debug or info or"),
    ("[snapshot]\nevery_s = 9\nmost_age_s = 8", "8: snapshot.most_age_s: 8 is less than snapshot.every_s;"),
    ("[snapshot]\non = true", "7: snapshot.on: needs a folder: give snapshot.folder or instance.folder"),
    (
        "[snapshot]\nfolder = 'glenfold.toml'",
        "7: snapshot.folder: {}/glenfold.toml is not a folder; give one",
    ),
    ("[control]\non = true", "7: control.on: needs a path: give control.socket or instance.folder"),
    ("[control]\nsocket = 'glenfold.toml'", "7: control.socket: {}/glenfold.toml exists and is not"),
    (f"[control]\nsocket = '{'x' * 108}'", "7: control.socket: {}/" + "x" * 108 + " is too long for a"),
    ("[restart]\ntake_over = true", "7: restart.take_over: needs a folder for the takeover socket: give"),
    ("deadline_ms = 9000\n[restart]\ndeadline_s = 9", "8: restart.deadline_s: 9 is too short for the"),
    ("semantics = 'by_key'", "4: settings.classes[0].window_ms: is 0; by_key needs the time within which"),
    (
        "message_aim_ms = 4000",
        "6: settings.classes[0].message_aim_ms: is above deadline_ms; give at most 3000",
    ),
    (
        "[[settings.classes]]\nname = 'trip-watch'",
        "7: settings.classes[1].name: 'trip-watch' is listed twice",
    ),
    (
        "[[settings.tenants]]\nname = 'a,b'",
        "7: settings.tenants[0].name: 'a,b' can't be sent in a protocol line;",
    ),
    ("[settings]\nzones = ['abc']\nzone = 'ab'", "8: settings.zone: 'ab' is not in settings.zones; did you"),
    ("[settings.rules]\nspare_attempts = 2", "7: settings.rules.spare_attempts: is counted over"),
    (
        "[[list.parents]]\naddress = '127.0.0.1:8600'",
        "6: list.parents: can't be given together with list.discovery; remove",
    ),
    ("[fleet]\ninstances = 2", "1: instance.folder: is missing; a fleet keeps its state and its sockets"),
]

LISTENERS = 'listeners.addresses = ["127.0.0.1:3000"]'
AGENT = 'list.discovery = "127.0.0.1:8500"\n'
LISTEN_ADDRESS, OWN_ADDRESSES = LISTENERS[23:-1], "fleet.addresses = "
# Changes to the file of a fleet of three: the old text, the new text, and the start of the only error.
ERRORS_OF_CHANGED_LINES = [
    (
        LISTEN_ADDRESS,
        f'{LISTEN_ADDRESS}, "0.0.0.0:3002"',
        "4: listeners.addresses[0]: instance 3 would listen on",
    ),
    (
        LISTEN_ADDRESS,
        f"{LISTEN_ADDRESS}, {LISTEN_ADDRESS}",
        "4: listeners.addresses[1]: instance 1 would listen on 127.0.0.1:3000,",
    ),
    (
        LISTEN_ADDRESS,
        '"0.0.0.0:65534"',
        "4: listeners.addresses[0]: with fleet.port_step the last port would be 65536",
    ),
    (
        LISTEN_ADDRESS,
        '"relay.example:1"',
        "4: listeners.addresses[0]: 'relay.example' is not an IPv4 address, such",
    ),
    (AGENT, AGENT + "list.region = 'wales'\n", "6: list.region: only serves to prefer parents of the same"),
    (AGENT, "", "1: list.discovery: is missing; it must be an address,"),
    *(
        (
            AGENT,
            f"list.parents = [{{address = '127.0.0.1:8600'}}, {wrong}]\n",
            f"5: list.parents[1].{expected}",
        )
        for wrong, expected in [
            (
                "{address = '127.0.0.1:8600'}",
                "address: 127.0.0.1:8600 is listed twice; list each parent once",
            ),
            ("{address = '127.0.0.1:none'}", "address: '127.0.0.1:none' is not HOST:PORT"),
            (
                "{address = '127.0.0.1:3001'}",
                "address: 127.0.0.1:3001 is a listener of this file; give the parent's",
            ),
            ("{zone = 'cardiff'}", "address: is missing; it must be an address, HOST:PORT"),
        ]
    ),
    (
        AGENT,
        "list.parents = [{address = '127.0.0.1:1', zone = 'cardif'}]\nsettings.zones = ['cardiff']\n",
        "5: list.parents[0].zone: 'cardif' is not in settings.zones; did you mean 'cardiff'?",
    ),
    (AGENT, "list.parents = []\n", "5: list.parents: expected a list of 1 to 64 entries, not []"),
    (
        "8500",
        "3001",
        "5: list.discovery: 127.0.0.1:3001 is a listener of this file; give the agent's address",
    ),
    ("8500", "none", "5: list.discovery: '127.0.0.1:none' is not HOST:PORT"),
    ('8500"', "8500\"\nlist.known = 'none.json'", "6: list.known: can't be read: [Errno 2] No such file"),
    (
        "= 3\n",
        "= 3\nfleet.most_out = 3\n",
        "3: fleet.most_out: 3 of 3 instances out of service would leave none to serve",
    ),
    ("= 3\n", "= 3\nfleet.stop_within_s = 30\n", "3: fleet.stop_within_s: 30 would kill an instance before"),
    ("= 3\n", "= 3\nfleet.backoff_s = 40\n", "2: fleet.most_backoff_s: 30 is less than"),
    ("= 3\n", "= 3\nsettings.rules.relays = 2\n", "3: settings.rules.relays: 2 is less than"),
    ("= 3\n", "= 3\ncontrol.socket = 'one.sock'\n", "3: control.socket: all instances would share one"),
    (
        "= 3\n",
        "= 3\ncontrol.on = false\n",
        "3: control.on: must be true in a fleet, which reaches its instances",
    ),
    (
        "= 3\n",
        f"= 3\n{OWN_ADDRESSES}[['127.0.0.1:1']]\n",
        "3: fleet.addresses: can't be given together with listeners.addresses",
    ),
    (
        LISTENERS,
        OWN_ADDRESSES + "[['127.0.0.1:1'], ['127.0.0.1:2']]",
        "4: fleet.addresses: has 2 entries for 3",
    ),
    (
        LISTENERS,
        OWN_ADDRESSES + "[['127.0.0.1:1'], ['127.0.0.1:2'], ['127.0.0.1:1']]",
        "4: fleet.addresses[2][0]: instance 3 would listen on 127.0.0.1:1, but instance 1 already has",
    ),
    (
        LISTENERS,
        OWN_ADDRESSES + "[['127.0.0.1:1'], ['127.0.0.1:2'], ['127.0.0.1:3']]\nfleet.port_step = 2",
        "5: fleet.port_step: applies only to listeners.addresses; remove it",
    ),
    (LISTENERS + "\n", "", "1: listeners.addresses: is missing; it must be a"),
    ("format = 1", "format = 2\nnew = 3", "3: format: this glenfold reads format 1 only"),
    ("format = 1\n", "", "1: format: is missing; it must be 1"),
    ("format = 1", "format = 1\nformat = 1", "4: not TOML: Cannot overwrite a value"),
]


@pytest.mark.parametrize(
    "text, expected",
    [
        *((MINIMAL_FILE + added, expected) for added, expected in ERRORS_OF_ADDED_LINES),
        *((FLEET.replace(was, now, 1), expected) for was, now, expected in ERRORS_OF_CHANGED_LINES),
    ],
)
def test_each_error_of_one_relay_or_a_fleet_has_its_line_and_key(
    tmp_path: Path, text: str, expected: str
) -> None:
    assert errors_of(tmp_path, FLEET) == []
    [found] = errors_of(tmp_path, text)
    assert found.startswith(expected.format(tmp_path))


def test_a_folder_that_cannot_be_written(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """os.access is replaced, as the kernel lets root write everywhere."""
    (tmp_path / "ro").mkdir()
    monkeypatch.setattr(os, "access", lambda path, mode: not Path(path).is_relative_to(tmp_path / "ro"))
    found = errors_of(
        tmp_path, MINIMAL_FILE + "[instance]\nfolder = 'ro/glen'\n[control]\nsocket = 'ro/{name}.sock'"
    )
    expected = (
        f"{tmp_path}/ro can't be written by this user ({os.geteuid()}); give a folder that can be written"
    )
    assert found == [f"7: instance.folder: {expected}", f"9: control.socket: {expected}"]


def test_more_sockets_than_this_user_may_open(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda what: (256, 512))
    assert errors_of(tmp_path, MINIMAL_FILE + "[limits]\nsockets = 512") == []
    [found] = errors_of(tmp_path, MINIMAL_FILE)
    assert found.startswith(
        "1: limits.sockets: 1024 is above the limit of open files for this user; give at most"
    )


@pytest.mark.parametrize(
    "document, expected",
    [
        ("[]", "can't be read: a list can't be read: it is not an object"),
        ("{", "can't be read: Expecting property name"),
        (
            '{"seq": 1, "whole": true, "hosts": [{"host": "s-1"}]}',
            "1 faulty entries; the first: entry 0 (s-1) is left out: its dial is not a text",
        ),
    ],
)
def test_a_known_list_is_checked_as_the_relay_reads_it(tmp_path: Path, document: str, expected: str) -> None:
    (tmp_path / "known.json").write_text(document)
    found = errors_of(tmp_path, MINIMAL_FILE.replace("list.", "list.known = 'known.json'\nlist.", 1))
    assert len(found) == 1 and found[0].startswith(f"3: list.known: {expected}")


def test_a_file_that_cannot_be_read_is_one_error(tmp_path: Path) -> None:
    (tmp_path / "glenfold.toml").mkdir()
    with pytest.raises(FileErrors, match=r"glenfold\.toml: can't be read: Is a directory"):
        read(tmp_path / "glenfold.toml")
