"""A TCP forwarder that can reset, black-hole or refuse connections."""

import asyncio

CHUNK_BYTES = 65536


class Forwarder:
    """Forwards connections on `port` to `to_port` and injects faults.

    `black_hole` drops all traffic of the open connections without closing
    them, while new ones work; `reset` aborts the open connections, and `end`
    closes them. While
    `refuses_connections` is set, new connections are aborted; while
    `drops_responses` is set, data from the far end is dropped. Each chunk
    of data is delayed by `delay_s`. `start`, `reset` and `close` are called in
    the event loop's thread, the rest from any thread.
    """

    def __init__(self, host, port, to_port):
        self.host = host
        self.port = port
        self.to_port = to_port
        self.refuses_connections = False
        self.drops_responses = False
        self.delay_s = 0.0
        self._connections = []
        self._server = None

    async def start(self):
        """Starts listening."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    async def _serve(self, reader, writer):
        if self.refuses_connections:
            writer.transport.abort()
            return
        try:
            to_reader, to_writer = await asyncio.open_connection(
                self.host, self.to_port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = ConnectionPair(writer, to_writer)
        self._connections.append(pair)
        await asyncio.gather(
            pair.forward(reader, to_writer, self._delay),
            pair.forward(to_reader, writer, self._delay_response),
        )
        self._connections.remove(pair)

    async def _delay(self):
        await asyncio.sleep(self.delay_s)
        return False

    async def _delay_response(self):
        await asyncio.sleep(self.delay_s)
        return self.drops_responses

    def close(self):
        """Stops listening: new connections are refused, the others go on."""
        self._server.close()

    def black_hole(self):
        """Drops all further traffic of the open connections.

        They stay open until they are reset.
        """
        for pair in self._connections:
            pair.is_black_holed = True

    def reset(self):
        """Aborts the open connections; the peers receive a reset."""
        for pair in list(self._connections):
            pair.abort()

    def end(self):
        """Closes the open connections; the peers receive an end."""
        for pair in list(self._connections):
            pair.close()


class ConnectionPair:
    """The connections to the near and the far end that are forwarded."""

    def __init__(self, near, far):
        self.near = near
        self.far = far
        self.is_black_holed = False

    async def forward(self, reader, writer, delay_or_drop):
        """Forwards data in one direction until either end disconnects.

        Awaits `delay_or_drop` for each chunk; drops it if that returns True.
        """
        try:
            while data := await reader.read(CHUNK_BYTES):
                if await delay_or_drop():
                    continue
                while self.is_black_holed:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            return
        finally:
            writer.close()

    def abort(self):
        """Aborts the connections to both ends."""
        self.is_black_holed = False
        self.near.transport.abort()
        self.far.transport.abort()

    def close(self):
        """Closes the connections to both ends."""
        self.is_black_holed = False
        self.near.close()
        self.far.close()
