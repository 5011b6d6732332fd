"""Addresses as text: what can be used is read, and anything else is a ValueError."""

import socket
from contextlib import suppress

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from glenfold.config.address import MAX_PORT, format_address, read_address

LABEL = "a" * 63
LONGEST_NAME = ".".join([LABEL] * 3 + ["b" * 61])  # 253 characters


@pytest.mark.parametrize(
    ("text", "address"),
    [
        ("127.0.0.1:80", ("127.0.0.1", 80)),
        ("0.0.0.0:65535", ("0.0.0.0", 65535)),
        ("[::1]:80", ("::1", 80)),
        ("[fe80::1%eth0]:80", ("fe80::1%eth0", 80)),
        ("agent:80", ("agent", 80)),
        ("discovery_agent.example.org.:80", ("discovery_agent.example.org.", 80)),
        ("bücher.example:80", ("xn--bcher-kva.example", 80)),
        (f"{LABEL}:1", (LABEL, 1)),
        (f"{LONGEST_NAME}:1", (LONGEST_NAME, 1)),
    ],
)
def test_a_host_that_can_be_used_is_read(text: str, address: tuple[str, int]) -> None:
    assert read_address(text) == address
    assert read_address(format_address(address)) == address


# Guards against text that is no host of any kind and ends the process where it is used (incident 11).
@pytest.mark.parametrize(
    "text",
    [
        "127.0.0..1:80",
        ".agent:80",
        "a..b:80",
        f"{LABEL}a:80",
        f"{LONGEST_NAME}b:80",
        "127.0.0.256:80",
        "127.1:80",
        "-agent:80",
        "agent-:80",
        "a b:80",
        "a\0b:80",
        "127.0.0.1\0:80",
        "s-\ud800:80",
        "\u200d:80",
        "::1:80",
        "[::1:80",
        "::1]:80",
        "[[::1]]:80",
        "[127.0.0.1]:80",
        "[::1%]:80",
        "[::1%a\0]:80",
        "[fe80::1%eth0%1]:80",
        "[]:80",
        ":80",
        "agent",
        "agent:",
        "agent:0",
        "agent:65536",
        "agent:+80",
        "agent:８０",
        "agent:" + "1" * 5000,
        "",
    ],
)
def test_text_that_is_no_address_is_a_value_error_that_quotes_it(text: str) -> None:
    with pytest.raises(ValueError, match="is not HOST:PORT|has no IPv6 address") as refused:
        read_address(text)
    assert type(refused.value) is ValueError  # not an error of some codec on the way
    assert repr(text) in str(refused.value)


HOST_PARTS = st.text("aB9-_.:[]%\0 é\ud800", max_size=70) | st.from_regex(
    r"[0-9a-f:.%\[\]]{1,40}", fullmatch=True
)


@given(st.builds("{}:{}".format, HOST_PARTS, st.integers(-1, MAX_PORT + 1)) | st.text(max_size=300))
@example("127.0.0..1:7")
def test_each_address_that_is_read_can_be_given_to_the_system(text: str) -> None:
    try:
        host, port = address = read_address(text)
    except ValueError as error:
        assert type(error) is ValueError
        return
    assert read_address(format_address(address)) == address
    assert 0 < port <= MAX_PORT
    host.encode("idna")  # what a socket does with a host that is no number
    for family in (socket.AF_INET, socket.AF_INET6):
        with suppress(socket.gaierror):  # a name, or of the other family
            socket.getaddrinfo(host, port, family, flags=socket.AI_NUMERICHOST)
