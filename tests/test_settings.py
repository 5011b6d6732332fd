"""Settings of any deployment: what is faulty in them is told by its key, and what is odd is served."""

import json
import math
from pathlib import Path
from typing import Any

import pytest
import relaying
from driver import SECOND, Gateway, finals, listed, moves, sends
from hypothesis import given
from hypothesis import strategies as st

from glenfold.config import ConfigError, read_again
from glenfold.config.platform import settings_of
from glenfold.daemon import platform
from linnetspread import interface as i
from linnetspread.wire import read_settings

FAULTY: list[tuple[str, Any]] = [
    ("classes.0.hard_limit_us", "soon"),
    ("classes.0.hard_limit_us", -1),
    ("classes.0.hard_limit_us", None),
    ("classes.0.hard_limit_us", {}),
    ("classes.0.hard_limit_us", {"a": 1}),
    ("classes.0.hard_limit_us", True),
    ("classes.0.hard_limit_us", 10**400),
    ("classes.0.hard_limit_us", "nan"),
    ("classes.0.semantics", "twice"),
    ("classes.0.group", 7),
    ("classes.0.worth", [1, 2]),
    ("classes.1", "feed"),
    ("accounts", ["a", "b"]),
    ("accounts.0.quota_per_s", -2.0),
    ("extra", 5),
    ("extra.mode", "sideways"),
    ("extra.message_aim_us.1", "x"),
    ("ceilings.max_attempts", 0),
    ("ceilings.retry_after", "yes"),
    ("invariants.cold_share", 1.5),
    ("replicas_of_me", 0),
    ("az", "east"),
    ("weights", "heavy"),
    ("registry_mode", False),
]


def told(key: str, value: Any) -> dict[str, Any]:
    """Sound settings but for that one value."""
    settings = json.loads(json.dumps(relaying.SETTINGS))
    settings["classes"].append({"name": "two", "hard_limit_us": 900})
    settings["extra"]["message_aim_us"].append(60000.0)
    *path, last = [int(part) if part.isdigit() else part for part in key.split(".")]
    parent = settings
    for part in path:
        parent = parent.setdefault(part, {}) if isinstance(parent, dict) else parent[part]
    parent[last] = value
    return settings


@pytest.mark.parametrize(("key", "value"), FAULTY)
def test_a_faulty_setting_is_told_by_its_key_and_a_default_stands_for_it(key: str, value: Any) -> None:
    settings, faults = settings_of(told(key, value))
    assert f"settings.{key}" in [faulty for faulty, _ in faults]
    assert {faulty.startswith(f"settings.{key}") for faulty, _ in faults} == {True}
    Gateway(classes=settings.classes, tenants=settings.tenants).open(1)
    assert all(0 < kind.deadline_us < math.inf for kind in settings.classes) and settings.max_attempts > 0


def test_sound_settings_have_no_faults_whoever_wrote_them() -> None:
    assert settings_of(told("replicas_of_me", 3))[1] == ()
    assert settings_of(told("invariants", {"cold_us": 0}))[0].cold_us == 1  # warm at once


def test_a_name_brings_no_setting_of_its_own() -> None:
    for end in "\n\r\x0b\x1c\x85\u2028":
        settings, _ = settings_of(told("classes.1.name", f"two{end}classes.0.worth=9"))
        assert [kind.worth for kind in settings.classes] == [1.0, 1.0]


@given(st.text(alphabet="classe.0ount=hard_limit_us\n,-19einfnantrue", max_size=120))
def test_no_settings_text_breaks_the_reading(text: str) -> None:
    read_settings("classes.count=2\nclasses.0." + text)


KINDS = st.lists(
    st.builds(
        i.RequestClass,
        deadline_us=st.sampled_from([1, 400_000, 90 * SECOND]),
        semantics=st.sampled_from(i.Semantics),
        scope=st.sampled_from(i.DedupScope),
        window_us=st.sampled_from([0, 2 * SECOND]),
        worth=st.sampled_from([0.0, 1.0, 9.0]),
        message_aim_us=st.sampled_from([0.0, 50.0, 60_000.0]),
    ),
    min_size=1,
    max_size=5,
)
TENANTS = st.lists(
    st.builds(i.Tenant, st.just(1.0), st.sampled_from([0.0, 0.1, 4.0]), st.sampled_from([0.0, 1.0, 500.0])),
    max_size=3,
)
SERVERS = st.lists(
    st.builds(
        listed,
        st.integers(1, 6),
        st.sampled_from(i.ServerState),
        weight=st.sampled_from([0.0, 1.0, 900.0]),
        zone=st.integers(0, 2),
        kind=st.integers(0, 3),
        started_us=st.sampled_from([0, 9 * SECOND]),
    ),
    max_size=6,
)
STEPS = st.lists(
    st.tuples(st.sampled_from(["ask", "up", "timer", "slow", "list", *i.Outcome]), st.integers(0, 9)),
    max_size=30,
)


@given(KINDS, TENANTS, SERVERS, STEPS, st.booleans(), st.sampled_from([1, 230]), st.sampled_from([1, SECOND]))
def test_whatever_the_settings_each_request_has_one_attempt_out_at_most_and_one_answer(
    kinds: list[i.RequestClass],
    tenants: list[i.Tenant],
    servers: list[i.ListedServer],
    steps: list[tuple[Any, int]],
    told: bool,
    gateways: int,
    cold_us: int,
) -> None:
    gateway = Gateway(
        0,
        classes=tuple(kinds),
        tenants=tuple(tenants),
        weighted=told,
        tells_delay=told,
        pass_through=told,
        gateways=gateways,
        cold_us=cold_us,
    )
    gateway.servers(i.ListKind.FULL, *servers)
    asked: dict[int, i.RequestClass] = {}
    out, ran, ended = set[int](), set[int](), set[int]()
    for what, n in steps:
        gateway.now += n * 100_000
        number = n % len(asked) + 1 if asked else 0
        actions: list[i.Action] = []
        if what == "ask":
            number = gateway.next_request
            asked[number] = kinds[n % len(kinds)]
            actions = gateway.ask(
                n,
                group=n % 3,
                request_class=n % len(kinds),
                tenant=n,
                mid_flow=n == 8,
                returning=n == 9,
                expires_in_us=asked[number].deadline_us,
            )[1]
        elif what == "list":
            actions = gateway.servers(i.ListKind.DELTA, *servers[:n])
        elif what == "timer" and number:
            actions = gateway.timer(number)
        elif what == "up" and number in out:
            ended.add(number)  # it stands: nothing more is owed to it than its end
            actions = gateway.establish(number, n * 100_000)
        elif what == "slow" and number in out:
            actions = gateway.note(number, i.NoticeKind.SLOW, n * 100.0)
        elif isinstance(what, i.Outcome) and number in out:
            out.remove(number)
            if not what.never_ran:
                ran.add(number)
            actions = gateway.answer(number, what, done=number in ended or what is i.Outcome.OK)
            if what is i.Outcome.OK:
                ended.add(number)
        for action in sends(actions):
            assert action.request not in out | ended
            assert action.request not in ran or asked[action.request].semantics is not i.Semantics.ONCE
            out.add(action.request)
        for action in finals(actions):
            assert action.request not in ended
            ended.add(action.request)
        assert not {number for number in moves(actions)} - ended
    assert sum(gateway.balancer.by_tenant) >= 0


def test_where_no_aim_is_told_no_delay_makes_a_jam() -> None:
    gateway = Gateway(servers=1, classes=(i.RequestClass(),))
    for elapsed in (1_000, 2_000, 3_000, 900_000):
        assert not moves(gateway.give(i.Established(gateway.open(elapsed=elapsed), 0, 100, elapsed)))
    known = gateway.balancer.servers[100]
    assert known.slice.size == 1 and known.rest_until == 0


def test_worth_may_be_told_of_no_class() -> None:
    gateway = Gateway(servers=1, classes=(i.RequestClass(worth=0.0, message_aim_us=60_000.0),))
    gateway.note(gateway.open(), i.NoticeKind.SLOW, 500.0)
    gateway.balancer.servers[100].slice.size = 0.5
    assert gateway.ask(returning=True)[1]


def test_at_a_start_the_fault_is_logged_and_at_a_reload_a_new_one_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    served = []

    async def serve(config: Any) -> None:
        served.append(config)

    relaying.write_config(tmp_path, settings=told("classes.0.hard_limit_us", "soon"))
    monkeypatch.setenv("LB_CONFIG", str(tmp_path / "config.json"))
    monkeypatch.setattr(platform, "serve", serve)
    assert platform.main() == 0
    out, err = capfd.readouterr()
    assert "WARNING configuration: settings.classes.0.hard_limit_us: 'soon' is not a" in err and not out
    environment = {"LB_CONFIG": str(tmp_path / "config.json")}
    relaying.write_config(tmp_path, discovery="127.0.0.1:8", settings=told("classes.0.hard_limit_us", "soon"))
    assert read_again(environment, served[0])[0].discovery == ("127.0.0.1", 8)  # nothing new is amiss
    relaying.write_config(tmp_path, settings=told("classes.0.semantics", "twice"), discovery="127.0.0.1:7")
    with pytest.raises(ConfigError, match=r"^settings\.classes\.0\.semantics: 'twice' is not one of"):
        read_again(environment, served[0])
