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


# Two rigs side by side: one took a port that the other had chosen and not yet
# listened on, so a daemon of the first did not start.
def test_two_processes_never_choose_the_same_port():
    reservations = [fleet.PortReservation(0) for _ in range(2)]
    ports = [
        one.free_port()
        for _ in range(2 * fleet.BLOCK_PORTS)
        for one in reservations
    ]
    assert len(set(ports)) == len(ports)
