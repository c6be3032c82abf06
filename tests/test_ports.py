"""Ports for rigs and tests: nobody else is given them, and the system gives them to no connection."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support import ROOT, free_port
from thistleshore.rig import ports
from thistleshore.rig.ports import BLOCK, PortBlock, is_free

GIVEN_OUT = Path("/proc/sys/net/ipv4/ip_local_port_range")  # to the near ends of connections
DRAW = "import sys; from thistleshore.rig.ports import free_ports; print(*free_ports(40), flush=True); sys.stdin.read()"


def test_the_system_gives_no_connection_a_port_that_was_drawn() -> None:
    least = int(GIVEN_OUT.read_text().split()[0])
    assert all(port < least for port in [free_port() for _ in range(50)])
    assert ports.RANGE.stop <= least


def test_processes_that_draw_at_the_same_time_draw_from_blocks_of_their_own() -> None:
    drawing = [
        subprocess.Popen([sys.executable, "-c", DRAW], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        for _ in range(4)
    ]
    try:
        found = [set(map(int, child.stdout.readline().split())) for child in drawing if child.stdout is not None]
    finally:
        for child in drawing:
            child.communicate()
    assert [len(each) for each in found] == [40] * 4
    assert len(set.union(*found)) == 160


def test_a_port_is_drawn_again_only_after_all_others_and_one_that_is_taken_never() -> None:
    block = PortBlock()
    first = block.draw(3)
    assert not set(first) & set(block.draw(100))
    with socket.create_server(("127.0.0.1", first[0])), socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as bound:
        bound.bind(("127.0.0.1", first[1]))
        assert not is_free(first[0]) and not is_free(first[1]) and is_free(first[2])
        drawn = block.draw(BLOCK - 200)
        assert len(set(drawn)) == len(drawn) and not {first[0], first[1]} & set(drawn)
    with pytest.raises(OSError, match=f"{BLOCK + 1} ports are wanted"):
        block.draw(BLOCK + 1)


def test_a_connection_that_has_ended_does_not_keep_its_listeners_port() -> None:
    (port,) = PortBlock().draw(1)
    with socket.create_server(("127.0.0.1", port)) as listener:
        far = socket.create_connection(("127.0.0.1", port))
        near, _ = listener.accept()
        near.close()  # whoever closes first keeps the port for a minute
        assert far.recv(1) == b""
        far.close()
    assert is_free(port)
    socket.create_server(("127.0.0.1", port)).close()
