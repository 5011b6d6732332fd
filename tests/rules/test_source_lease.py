"""Tests of the lease on the known list, and of the header fields of a parent."""

import math

import pytest

from glenfold.rules.parent_header import MAX_HOPS, ParentHeader, ParentHeaderError, read_parent_header
from glenfold.rules.source_lease import LEASE_S, SourceLease


def test_a_lease_counts_from_the_latest_renewal_by_the_source() -> None:
    lease = SourceLease()
    assert not lease.holds(0.0) and lease.age_s(0.0) == math.inf
    assert lease.renew(10.0) and lease.holds(10.0 + LEASE_S) and not lease.holds(10.1 + LEASE_S)
    assert not lease.renew(9.0) and not lease.renew(10.0)  # Another parent reports earlier renewals.
    assert lease.age_s(13.0) == 3.0


def test_a_response_of_discovery_has_none_of_the_fields() -> None:
    header = read_parent_header([(b"Content-Type", b"application/json")])
    assert header == ParentHeader() and header.is_source and header.incarnation is None


def test_the_field_names_of_a_replica_are_case_insensitive() -> None:
    fields = [
        (b"GLENFOLD-incarnation", b"7"),
        (b"age", b"3"),
        (b"Via", b"1.1 root-1, 1.1 zone-2"),
        (b"via", b"1.1 zone-3"),
        (b"Glenfold-Children", b"250"),
        (b"Retry-After", b"2"),
    ]
    assert read_parent_header(fields) == ParentHeader(("root-1", "zone-2", "zone-3"), 7, 3.0, 250, 2.0)


def test_a_replica_without_an_age_counts_as_infinitely_old() -> None:
    header = read_parent_header([(b"Via", b"1.1 root-1")])
    assert header.age_s == math.inf and header.incarnation == 0


def test_a_retry_after_date_is_ignored() -> None:
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
def test_an_invalid_field_is_an_error(name: str, value: str) -> None:
    with pytest.raises(ParentHeaderError, match=name):
        read_parent_header([(name.encode(), value.encode())])
