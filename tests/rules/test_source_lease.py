"""How long what is known may be taken as current, and what a parent's header says of it."""

import math

import pytest

from glenfold.rules.parent_header import MAX_HOPS, ParentHeader, ParentHeaderError, read_parent_header
from glenfold.rules.source_lease import LEASE_S, SourceLease


def test_a_lease_goes_by_the_latest_moment_in_which_the_source_renewed() -> None:
    lease = SourceLease()
    assert not lease.holds(0.0) and lease.age_s(0.0) == math.inf
    assert lease.renew(10.0) and lease.holds(10.0 + LEASE_S) and not lease.holds(10.1 + LEASE_S)
    assert not lease.renew(9.0) and not lease.renew(10.0)  # told late, by another parent
    assert lease.age_s(13.0) == 3.0


def test_discovery_itself_sends_none_of_the_fields() -> None:
    greeting = read_parent_header([(b"Content-Type", b"application/json")])
    assert greeting == ParentHeader() and greeting.is_source and greeting.incarnation is None


def test_the_fields_of_a_replica_whatever_their_case() -> None:
    fields = [
        (b"GLENFOLD-incarnation", b"7"),
        (b"age", b"3"),
        (b"Via", b"1.1 root-1, 1.1 zone-2"),
        (b"via", b"1.1 zone-3"),
        (b"Glenfold-Children", b"250"),
        (b"Retry-After", b"2"),
    ]
    assert read_parent_header(fields) == ParentHeader(("root-1", "zone-2", "zone-3"), 7, 3.0, 250, 2.0)


def test_a_replica_that_was_never_renewed_tells_no_age_and_is_older_than_all() -> None:
    greeting = read_parent_header([(b"Via", b"1.1 root-1")])
    assert greeting.age_s == math.inf and greeting.incarnation == 0


def test_a_date_to_come_again_at_says_nothing() -> None:
    assert read_parent_header([(b"Retry-After", b"Fri, 31 Dec 1999 23:59:59 GMT")]).retry_after_s is None


@pytest.mark.parametrize(
    "name, value",
    [
        ("Age", "-1"),
        ("Age", "inf"),
        ("Age", "nan"),
        ("Age", ""),
        ("Glenfold-Incarnation", "-1"),
        ("Glenfold-Incarnation", "1.5"),
        ("Glenfold-Incarnation", str(1 << 63)),
        ("Glenfold-Children", "9" * 5000),
        ("Via", "root-1"),
        ("Via", "1.1 a,,1.1 b"),
        ("Via", ", ".join(["1.1 a"] * (MAX_HOPS + 1))),
    ],
)
def test_a_field_that_cannot_be_read_is_a_fault(name: str, value: str) -> None:
    with pytest.raises(ParentHeaderError, match=name):
        read_parent_header([(name.encode(), value.encode())])
