"""The paths of one daemon to the engines, which a test can cut."""

import socket
import struct
import threading

from samphirepost_daemon.entry import engineclient
from tests import entryhelper

READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Path(entryhelper.RawServer):
    """Forwards the connections to one engine."""

    def __init__(self, network, address):
        self._network = network
        self._address = address
        super().__init__()

    def serve(self, conn):
        """Forwards one connection until either end closes it."""
        with engineclient.dial(self._address, 1.0) as far:
            pair = (conn, far)
            self._network.connections.append(pair)
            back = threading.Thread(
                target=self._forward, args=(far, conn), daemon=True
            )
            back.start()
            self._forward(conn, far)
            back.join()

    def _forward(self, from_sock, to_sock):
        try:
            while data := from_sock.recv(READ_BYTES):
                self._network.passes.wait()
                to_sock.sendall(data)
            self._network.passes.wait()
            to_sock.shutdown(socket.SHUT_WR)
        except OSError:
            return


class Network:
    """Opens connections to engines for one daemon; see engineclient.dial().

    `connections` are the open ones, as pairs of sockets. `dialled` counts the
    attempts to open one.
    """

    def __init__(self):
        self._paths = {}
        self._error = None
        self.passes = threading.Event()
        self.passes.set()
        self.connections = []
        self.dialled = 0

    def dial(self, address, timeout_s):
        """Returns a socket connected to an engine, unless the path is cut."""
        self.dialled += 1
        if self._error is not None:
            if self._error is TimeoutError:
                threading.Event().wait(timeout_s)
            raise self._error("the path is cut")
        if address not in self._paths:
            self._paths[address] = Path(self, address)
        return engineclient.dial(self._paths[address].address, timeout_s)

    def cut(self, new="hang", opened="silent"):
        """Cuts the paths to all engines.

        New connections `hang` or are refused (`refuse`). Those that are open
        fall `silent`, are `reset` or go on (`live`).
        """
        self._error = {"hang": TimeoutError, "refuse": ConnectionRefusedError}[
            new
        ]
        if opened == "silent":
            self.passes.clear()
        elif opened == "reset":
            for near, _ in self.connections:
                _reset(near)

    def heal(self):
        """Lets new connections reach the engines again.

        Those that fell silent at the cut have been lost.
        """
        self._error = None
        if not self.passes.is_set():
            for near, far in self.connections:
                _reset(near)
                _reset(far)
            self.connections = []
            self.passes.set()


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        # Wakes the thread that reads from it.
        sock.shutdown(socket.SHUT_RD)
        sock.close()
    except OSError:
        # It was closed before.
        return
