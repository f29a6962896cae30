"""Tests the ports that the test fleet assigns to its processes."""

import pathlib

from samphirepost_bench import fleet

EPHEMERAL = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_ports_are_not_those_that_connections_get():
    """Guards against ports of the kernel's ephemeral range.

    The kernel may give such a port to a connection before the process
    listens on it.
    """
    first, last = map(int, EPHEMERAL.read_text().split())
    ports = [fleet.free_port() for _ in range(20)]
    assert not any(first <= port <= last for port in ports)
    assert len(set(ports)) == len(ports)
