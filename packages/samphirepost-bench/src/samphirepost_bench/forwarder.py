"""A TCP forwarder that can cut, silence or refuse connections."""

import asyncio

CHUNK_BYTES = 65536


class Forwarder:
    """Forwards one port to another, under control of a test.

    `silence` makes the open connections carry nothing from now on, while
    new ones work; `cut` ends them all; `refusing` takes no new ones;
    `answers_lost` drops what the far end says; each piece of data is held
    for `delay_s`.
    """

    def __init__(self, host, port, to_port):
        self.host = host
        self.port = port
        self.to_port = to_port
        self.refusing = False
        self.answers_lost = False
        self.delay_s = 0.0
        self._pairs = []
        self._server = None

    async def start(self):
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    async def _serve(self, reader, writer):
        if self.refusing:
            writer.transport.abort()
            return
        try:
            to_reader, to_writer = await asyncio.open_connection(
                self.host, self.to_port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = Pair(writer, to_writer)
        self._pairs.append(pair)
        await asyncio.gather(
            pair.pump(reader, to_writer, self._hold),
            pair.pump(to_reader, writer, self._hold_answer),
        )
        self._pairs.remove(pair)

    async def _hold(self):
        await asyncio.sleep(self.delay_s)
        return False

    async def _hold_answer(self):
        await asyncio.sleep(self.delay_s)
        return self.answers_lost

    def silence(self):
        """Makes the open connections go silent for good."""
        for pair in self._pairs:
            pair.silent = True

    def cut(self):
        """Ends the open connections."""
        for pair in list(self._pairs):
            pair.abort()


class Pair:
    """The two halves of a forwarded connection."""

    def __init__(self, near, far):
        self.near = near
        self.far = far
        self.silent = False

    async def pump(self, reader, writer, hold):
        """Carries bytes one way until either end is gone.

        `hold` waits for as long as data is held, and tells whether to drop
        it.
        """
        try:
            while data := await reader.read(CHUNK_BYTES):
                if await hold():
                    continue
                while self.silent:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            return
        finally:
            writer.close()

    def abort(self):
        """Ends both halves."""
        self.silent = False
        self.near.transport.abort()
        self.far.transport.abort()
