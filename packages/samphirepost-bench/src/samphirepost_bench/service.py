"""Emulator of a plain service whose calls must not be repeated.

Its journal lists every call that ran, so that a test can count them.
"""

import asyncio
import collections

from aiohttp import web
import msgspec


class Fault(msgspec.Struct):
    """A fault of the next `count` calls.

    "refuse" answers 503 before the call runs. "slow" delays the answer by
    `seconds`, "lost" closes the connection and "silent" never answers; in
    these three the call has run.
    """

    name: str
    count: int = 1
    seconds: float = 0.0


class Service:
    """Runs calls and records each one in a journal."""

    def __init__(self):
        self.journal = []
        self.faults = collections.deque()

    def app(self):
        """Returns the web application."""
        app = web.Application()
        app.router.add_get("/journal", self.show_journal)
        app.router.add_post("/control", self.add_fault)
        app.router.add_post("/{path:.*}", self.handle_call)
        return app

    async def handle_call(self, request):
        """Runs a call; a fault acts before or after the call ran."""
        body = await request.read()
        fault = self._next_fault()
        if fault.name == "refuse":
            return web.Response(status=503, headers={"Not-Run": "1"})
        key = request.headers.get("Idempotency-Key", "")
        self.journal.append({"key": key, "body": body.decode()})
        number = len(self.journal)
        if fault.name == "slow":
            await asyncio.sleep(fault.seconds)
        if fault.name == "lost":
            request.transport.abort()
        if fault.name == "silent":
            await asyncio.sleep(3600)
        return web.json_response({"receipt": number, "key": key})

    def _next_fault(self):
        if not self.faults:
            return Fault("")
        fault = self.faults[0]
        fault.count -= 1
        if fault.count <= 0:
            self.faults.popleft()
        return fault

    async def add_fault(self, request):
        """Adds a fault for the next calls."""
        body = await request.read()
        self.faults.append(msgspec.json.decode(body, type=Fault))
        return web.Response()

    async def show_journal(self, request):
        """Returns the journal as JSON."""
        return web.json_response(self.journal)


def run(host, port):
    """Serves calls until the process is terminated."""
    web.run_app(Service().app(), host=host, port=port, print=None)
