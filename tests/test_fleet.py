"""Tests the fleet's ports, and its reports of processes that end."""

import pathlib
import signal
import socket
import sys

import pytest

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


# A daemon got a port that a socket for datagrams had, and so knew no hub.
@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_ports_in_use_are_not_assigned(kind):
    reservation = fleet.PortReservation(0)
    port = reservation.free_port()
    with socket.socket(type=kind) as used:
        used.bind((fleet.HOST, port + 1))
        assert reservation.free_port() != port + 1


def run_code(fleet_here, code, name="one"):
    """Starts a process of the fleet that runs Python code; returns it."""
    path = fleet_here.folder / f"{name}.log"
    interpreter = [sys.executable, "-X", "faulthandler"]
    process = fleet.Process(name, [*interpreter, "-c", code], path)
    fleet_here.processes.append(process)
    return process


def raise_signal(name):
    """Returns code that ends by a signal, also if the caller ignores it."""
    return (
        f"import os, signal; number = signal.{name}\n"
        "if number != signal.SIGKILL:\n"
        "    signal.signal(number, signal.SIG_DFL)\n"
        "os.kill(os.getpid(), number)"
    )


# A daemon was gone without a line, and how it had ended was not kept.
@pytest.mark.parametrize("name", ["SIGKILL", "SIGHUP", "SIGSEGV", "SIGABRT"])
def test_process_ended_by_a_signal_is_reported_at_the_end(tmp_path, name):
    with pytest.raises(fleet.FleetError, match=f"one: ended by {name}"):
        with fleet.Fleet(tmp_path) as fleet_here:
            process = run_code(fleet_here, raise_signal(name))
            assert process.wait() == -signal.Signals[name]


@pytest.mark.parametrize("status", [0, 3])
def test_process_that_exits_is_reported_with_all_its_output(tmp_path, status):
    code = (
        "import sys; print('first line', file=sys.stderr);"
        f"print('x' * 100_000, file=sys.stderr); sys.exit({status})"
    )
    with pytest.raises(fleet.FleetError) as found:
        with fleet.Fleet(tmp_path) as fleet_here:
            run_code(fleet_here, code).wait()
    report = str(found.value)
    assert f"one: exit status {status}, first line" in report
    assert "x" * 100_000 in report


# The status of one that was killed later would hide that it had ended before.
def test_process_that_had_ended_before_it_was_killed_is_reported(tmp_path):
    with pytest.raises(fleet.FleetError, match="one: exit status 0"):
        with fleet.Fleet(tmp_path) as fleet_here:
            process = run_code(fleet_here, "")
            process.wait()
            process.kill()


def test_processes_that_the_run_ends_are_not_reported(tmp_path):
    wait = "import signal; signal.pause()"
    with fleet.Fleet(tmp_path) as fleet_here:
        run_code(fleet_here, wait, "killed").kill()
        terminated = run_code(fleet_here, wait, "terminated")
        terminated.terminate()
        terminated.wait()
        run_code(fleet_here, wait, "frozen").freeze()
