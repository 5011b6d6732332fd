import os
import struct
import subprocess
import sys

import pytest

from linnetspread import interface, wire
from linnetspread.adapter import Host

SETTINGS = "\n".join(
    [
        "replicas_of_me=2",
        "slot_no=1",
        "classes.count=1",
        "classes.0.semantics=repeatable",
        "classes.0.aim_us=800000",
        "extra.message_aim_us=100000.0",
        "ceilings.probes=false",
        "weights=rough",
        "never.heard.of=this",
        "ceilings.max_attempts=lots",
        "registry_mode=push",
        "extra.mode=pass",
    ]
)


def record(code: int, body: bytes) -> bytes:
    return struct.pack(">BI", code, len(body)) + body


def batch(number: int, now: int, *records: bytes) -> bytes:
    body = struct.pack(">QI", now, len(records)) + b"".join(records)
    return struct.pack(">II", number, len(body)) + body


def power_on(instance: int, text: str = SETTINGS) -> bytes:
    return record(10, struct.pack(">IQI", instance, 7, len(text)) + text.encode())


def list_record(instance: int, *servers: int) -> bytes:
    lines = b"".join(struct.pack(">IHBHBfQ", s, 0, 0, 0, 1, 1.0, 0) for s in servers)
    return record(20, struct.pack(">IBII", instance, 2, 1, len(servers)) + lines)


def request_record(instance: int, call: int, key: int) -> bytes:
    return record(30, struct.pack(">IQIQQBBHI", instance, call, 2_000_000, key, 0, 0, 0, 0, 0))


def run(data: bytes, hash_seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "linnetspread.adapter"],
        input=data,
        capture_output=True,
        env=os.environ | {"PYTHONHASHSEED": hash_seed},
        timeout=60,
        check=False,
    )


def test_the_examples_of_the_wire_are_read():
    frame = bytes.fromhex(
        "0000000000805c5a000000031e0000002800000003000674ab5d3a91c40003a98091f03b7c55d20a642b8e6401d9f37c10"
        "010000000000 2ee0460000000c00000003000000000000004d3c0000000c00000005000601260e6f2b19"
    )
    now, events = wire.read_batch(frame)
    assert now == 0x805C5A
    assert events[0] == (
        3,
        interface.Request(0x674AB5D3A91C4, 0x3A980, 0x91F03B7C55D20A64, 0x2B8E6401D9F37C10, load_us=0x2EE0),
    )
    assert events[1:] == [(3, interface.Timer(0x4D)), (5, interface.ClientLeft(0x601260E6F2B19))]


def test_the_examples_of_the_wire_are_written():
    written = [
        (
            interface.Attempt(0x674AB5D3A91C4, 0x3124A07, 80_000),
            "7800000014 00000003 000674ab5d3a91c4 03124a07 00013880",
        ),
        (interface.SetTimer(500_000, 77), "3c00000010 00000003 0007a120 000000000000004d"),
        (interface.Refuse(0x601260E6F2B19, 250_000), "2800000010 00000003 000601260e6f2b19 0003d090"),
        (interface.Fail(0x601260E6F2B19), "6e0000000c 00000003 000601260e6f2b19"),
        (interface.Cancel(0x674AB5D3A91C4, 0), "460000000d 00000003 000674ab5d3a91c4 00"),
        (interface.Move(0x674AB5D3A91C4), "320000000c 00000003 000674ab5d3a91c4"),
        (interface.Log("two servers known"), "5a00000017 00000003 0011 74776f2073657276657273206b6e6f776e"),
        (interface.Subscribe(True), "5000000005 00000003 01"),
        (interface.FetchList(), "1400000004 00000003"),
        (interface.Probe(0x2C9011F2), "8200000008 00000003 2c9011f2"),
        (interface.CloseIdle(0x2C9011F2), "1e00000008 00000003 2c9011f2"),
        (interface.Tell(None, b"hi 7"), "640000000e 00000003 ffffffff 0004 68692037"),
    ]
    for action, text in written:
        assert wire.write_action(3, action).hex() == text.replace(" ", "")
    assert wire.write_fatal(3, "index out of range").hex().startswith("0a00000018")


def test_settings_take_defaults_and_skip_unknown_names():
    read = wire.read_settings(SETTINGS)
    assert (read.gateways, read.slot, read.weighted, read.pass_through) == (2, 1, True, True)
    assert read.max_attempts == interface.Settings().max_attempts
    assert read.classes[0].semantics is interface.Semantics.REPEATABLE
    assert wire.read_settings("") == interface.Settings()


def test_unknown_codes_and_values_are_ignored():
    unknown = record(99, struct.pack(">I", 3))
    unknown_outcome = record(50, struct.pack(">IQBIHIBB", 3, 5, 0, 9, 77, 1, 0, 0))
    _, events = wire.read_batch(batch(1, 5, unknown, unknown_outcome)[8:])
    assert len(events) == 1 and events[0][1].outcome is interface.Outcome.UNKNOWN


def test_a_good_run_answers_every_batch_and_exits_cleanly():
    data = (
        batch(1, 5, power_on(3), list_record(3, 9, 8)) + batch(2, 9, request_record(3, 44, 5)) + batch(3, 10)
    )
    done = run(data)
    assert done.returncode == 0 and done.stderr == b""
    assert done.stdout[:12] == struct.pack(">III", 1, 0, 0)
    assert done.stdout[-12:] == struct.pack(">III", 3, 0, 0)


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0\0",
        batch(1, 5, power_on(3))[:-4],
        struct.pack(">II", 1, 4) + b"abcd",
        batch(1, 5, record(30, b"\0\0\0\1short")),
        struct.pack(">II", 1, 14) + struct.pack(">QI", 5, 0) + b"xx",
        batch(1, 5, record(20, struct.pack(">IBII", 1, 1, 1, 9))),
        batch(1, 5, record(10, struct.pack(">IQI", 1, 7, 900) + b"a=1")),
    ],
)
def test_a_broken_frame_ends_the_process_with_one_error_line(data):
    done = run(data)
    assert done.returncode != 0
    assert done.stderr.startswith(b"linnetspread: broken frame: ") and done.stderr.count(b"\n") == 1


def test_an_exception_ends_only_its_instance(monkeypatch):
    host = Host()
    host.answer(batch(1, 5, power_on(1), power_on(2), list_record(1, 9), list_record(2, 9))[8:])
    monkeypatch.setattr(host.instances[1], "handle", lambda now, event: 1 // 0)
    records = host.answer(batch(2, 6, request_record(1, 4, 4), request_record(2, 5, 5))[8:])
    assert records[0][0] == 10 and b"ZeroDivisionError" in records[0]
    assert any(data[0] == 120 for data in records[1:])
    assert host.answer(batch(3, 7, request_record(1, 6, 6))[8:]) == []


def test_kill_discards_the_state_and_the_instance_can_start_again():
    host = Host()
    host.answer(batch(1, 5, power_on(1), list_record(1, 9), request_record(1, 4, 4))[8:])
    host.answer(batch(2, 6, record(100, struct.pack(">I", 1)), power_on(1), list_record(1, 9))[8:])
    assert host.instances[1].connections == {}


def busy_input(instances: list[int]) -> bytes:
    data = batch(1, 5, *(power_on(n) for n in instances), *(list_record(n, 9, 8, 7, 300) for n in instances))
    for turn in range(2, 30):
        data += batch(turn, turn * 10_000, *(request_record(n, turn, turn * 7919) for n in instances))
    return data


def replies(output: bytes, instance: int) -> list[bytes]:
    found, at = [], 0
    while at < len(output):
        _, count, size = struct.unpack_from(">III", output, at)
        at += 12
        end = at + size
        for _ in range(count):
            _, length = struct.unpack_from(">BI", output, at)
            data = output[at : at + 5 + length]
            at += 5 + length
            if struct.unpack_from(">I", data, 5)[0] == instance:
                found.append(data)
        assert at == end
    return found


def test_actions_do_not_depend_on_processes_or_the_hash_seed():
    together = run(busy_input([1, 2, 3]), "1").stdout
    for instance in (1, 2, 3):
        alone = run(busy_input([instance]), "2").stdout
        assert replies(together, instance) == replies(alone, instance)
        assert len(replies(alone, instance)) > 28
