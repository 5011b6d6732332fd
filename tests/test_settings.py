"""Settings of any deployment: faulty values are reported by their key, and unusual ones are served."""

import json
import math
from pathlib import Path
from typing import Any

import pytest
import relaying
from driver import SECOND, Gateway, attempts_in, final_answers, listed, moved_requests
from hypothesis import given
from hypothesis import strategies as st

from glenfold.config import ConfigError, read_again
from glenfold.config.platform import settings_of
from glenfold.daemon import platform
from linnetspread import interface
from linnetspread.wire import read_settings

FAULTY_SETTINGS: list[tuple[str, Any]] = [
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


def settings_with(key: str, value: Any) -> dict[str, Any]:
    """Returns valid settings with one value replaced."""
    settings = json.loads(json.dumps(relaying.SETTINGS))
    settings["classes"].append({"name": "two", "hard_limit_us": 900})
    settings["extra"]["message_aim_us"].append(60000.0)
    *path, last = [int(part) if part.isdigit() else part for part in key.split(".")]
    parent = settings
    for part in path:
        parent = parent.setdefault(part, {}) if isinstance(parent, dict) else parent[part]
    parent[last] = value
    return settings


@pytest.mark.parametrize(("key", "value"), FAULTY_SETTINGS)
def test_a_faulty_setting_is_reported_by_its_key_and_replaced_by_a_default(key: str, value: Any) -> None:
    settings, problems = settings_of(settings_with(key, value))
    assert f"settings.{key}" in [key_of_problem for key_of_problem, _ in problems]
    assert {key_of_problem.startswith(f"settings.{key}") for key_of_problem, _ in problems} == {True}
    Gateway(classes=settings.classes, tenants=settings.tenants).open(1)
    assert all(0 < kind.deadline_us < math.inf for kind in settings.classes) and settings.max_attempts > 0


def test_valid_settings_have_no_problems() -> None:
    assert settings_of(settings_with("replicas_of_me", 3))[1] == ()
    # A server is warm at once.
    assert settings_of(settings_with("invariants", {"cold_us": 0}))[0].cold_us == 1


def test_a_line_break_in_a_name_adds_no_setting() -> None:
    for end in "\n\r\x0b\x1c\x85\u2028":
        settings, _ = settings_of(settings_with("classes.1.name", f"two{end}classes.0.worth=9"))
        assert [kind.worth for kind in settings.classes] == [1.0, 1.0]


@given(st.text(alphabet="classe.0ount=hard_limit_us\n,-19einfnantrue", max_size=120))
def test_no_settings_text_makes_the_reader_raise(text: str) -> None:
    read_settings("classes.count=2\nclasses.0." + text)


KINDS = st.lists(
    st.builds(
        interface.RequestClass,
        deadline_us=st.sampled_from([1, 400_000, 90 * SECOND]),
        semantics=st.sampled_from(interface.Semantics),
        scope=st.sampled_from(interface.DedupScope),
        window_us=st.sampled_from([0, 2 * SECOND]),
        worth=st.sampled_from([0.0, 1.0, 9.0]),
        message_aim_us=st.sampled_from([0.0, 50.0, 60_000.0]),
    ),
    min_size=1,
    max_size=5,
)
TENANTS = st.lists(
    st.builds(
        interface.Tenant, st.just(1.0), st.sampled_from([0.0, 0.1, 4.0]), st.sampled_from([0.0, 1.0, 500.0])
    ),
    max_size=3,
)
SERVERS = st.lists(
    st.builds(
        listed,
        st.integers(1, 6),
        st.sampled_from(interface.ServerState),
        weight=st.sampled_from([0.0, 1.0, 900.0]),
        zone=st.integers(0, 2),
        kind=st.integers(0, 3),
        started_us=st.sampled_from([0, 9 * SECOND]),
    ),
    max_size=6,
)
STEPS = st.lists(
    st.tuples(st.sampled_from(["ask", "up", "timer", "slow", "list", *interface.Outcome]), st.integers(0, 9)),
    max_size=30,
)


@given(KINDS, TENANTS, SERVERS, STEPS, st.booleans(), st.sampled_from([1, 230]), st.sampled_from([1, SECOND]))
def test_with_any_settings_each_request_has_at_most_one_attempt_out_and_one_answer(
    kinds: list[interface.RequestClass],
    tenants: list[interface.Tenant],
    servers: list[interface.ListedServer],
    steps: list[tuple[Any, int]],
    flags_on: bool,
    gateways: int,
    cold_us: int,
) -> None:
    gateway = Gateway(
        0,
        classes=tuple(kinds),
        tenants=tuple(tenants),
        weighted=flags_on,
        tells_delay=flags_on,
        pass_through=flags_on,
        gateways=gateways,
        cold_us=cold_us,
    )
    gateway.servers(interface.ListKind.FULL, *servers)
    asked: dict[int, interface.RequestClass] = {}
    out, ran, ended = set[int](), set[int](), set[int]()
    for what, n in steps:
        gateway.now += n * 100_000
        number = n % len(asked) + 1 if asked else 0
        actions: list[interface.Action] = []
        if what == "ask":
            number = gateway.next_request
            asked[number] = kinds[n % len(kinds)]
            actions = gateway.request(
                n,
                group=n % 3,
                request_class=n % len(kinds),
                tenant=n,
                mid_flow=n == 8,
                returning=n == 9,
                expires_in_us=asked[number].deadline_us,
            )[1]
        elif what == "list":
            actions = gateway.servers(interface.ListKind.DELTA, *servers[:n])
        elif what == "timer" and number:
            actions = gateway.timer(number)
        elif what == "up" and number in out:
            # Only the end of an established connection remains to be handled.
            ended.add(number)
            actions = gateway.establish(number, n * 100_000)
        elif what == "slow" and number in out:
            actions = gateway.notice(number, interface.NoticeKind.SLOW, n * 100.0)
        elif isinstance(what, interface.Outcome) and number in out:
            out.remove(number)
            if not what.never_ran:
                ran.add(number)
            actions = gateway.answer(number, what, done=number in ended or what is interface.Outcome.OK)
            if what is interface.Outcome.OK:
                ended.add(number)
        for action in attempts_in(actions):
            assert action.request not in out | ended
            assert (
                action.request not in ran or asked[action.request].semantics is not interface.Semantics.ONCE
            )
            out.add(action.request)
        for action in final_answers(actions):
            assert action.request not in ended
            ended.add(action.request)
        assert not {number for number in moved_requests(actions)} - ended
    assert sum(gateway.balancer.connections_by_tenant) >= 0


def test_without_an_aim_no_delay_counts_as_an_overload() -> None:
    gateway = Gateway(servers=1, classes=(interface.RequestClass(),))
    for elapsed in (1_000, 2_000, 3_000, 900_000):
        assert not moved_requests(
            gateway.handle(interface.Established(gateway.open(elapsed=elapsed), 0, 100, elapsed))
        )
    server = gateway.balancer.servers[100]
    assert server.slice.size == 1 and server.backoff_until == 0


def test_all_classes_may_have_a_worth_of_zero() -> None:
    gateway = Gateway(servers=1, classes=(interface.RequestClass(worth=0.0, message_aim_us=60_000.0),))
    gateway.notice(gateway.open(), interface.NoticeKind.SLOW, 500.0)
    gateway.balancer.servers[100].slice.size = 0.5
    assert gateway.request(returning=True)[1]


def test_a_faulty_setting_is_logged_at_the_start_and_a_new_one_is_refused_at_a_reload(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    served = []

    async def serve(config: Any) -> None:
        served.append(config)

    relaying.write_config(tmp_path, settings=settings_with("classes.0.hard_limit_us", "soon"))
    monkeypatch.setenv("LB_CONFIG", str(tmp_path / "config.json"))
    monkeypatch.setattr(platform, "serve", serve)
    assert platform.main() == 0
    out, err = capfd.readouterr()
    assert "WARNING configuration: settings.classes.0.hard_limit_us: 'soon' is not a" in err and not out
    environment = {"LB_CONFIG": str(tmp_path / "config.json")}
    relaying.write_config(
        tmp_path, discovery="127.0.0.1:8", settings=settings_with("classes.0.hard_limit_us", "soon")
    )
    # The reload adds no new problem.
    assert read_again(environment, served[0])[0].discovery == ("127.0.0.1", 8)
    relaying.write_config(
        tmp_path, settings=settings_with("classes.0.semantics", "twice"), discovery="127.0.0.1:7"
    )
    with pytest.raises(ConfigError, match=r"^settings\.classes\.0\.semantics: 'twice' is not one of"):
        read_again(environment, served[0])
