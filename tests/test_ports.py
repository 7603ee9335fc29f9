"""Tests of the ports for processes that tests start."""

import socket

import pytest

from tests.ports import HOST, find_free_port


def test_no_port_is_returned_twice() -> None:
    """Guards against two listeners of a test that get the same port."""
    ports = [find_free_port() for _ in range(2_000)]
    assert len(set(ports)) == len(ports)


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_in_use_is_not_free(
    kind: socket.SocketKind, monkeypatch: pytest.MonkeyPatch
) -> None:
    with socket.socket(type=kind) as user:
        user.bind((HOST, 0))
        used = user.getsockname()[1]
        free = find_free_port()
        monkeypatch.setattr("tests.ports._candidates", iter([used, free]))
        assert find_free_port() == free
