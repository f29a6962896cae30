"""A stand-in for a plain service whose calls may not be repeated."""

import asyncio
import collections

from aiohttp import web
import msgspec


class Fault(msgspec.Struct):
    """What happens to the next `count` calls."""

    name: str
    count: int = 1
    seconds: float = 0.0


class Service:
    """Keeps a journal of every call that it ran."""

    def __init__(self):
        self.journal = []
        self.faults = collections.deque()

    def app(self):
        """Returns the web application."""
        app = web.Application()
        app.router.add_get("/journal", self.show)
        app.router.add_post("/control", self.control)
        app.router.add_post("/{path:.*}", self.call)
        return app

    async def call(self, request):
        """Runs a call; a fault strikes before or after it ran."""
        body = await request.read()
        fault = self._fault()
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

    def _fault(self):
        if not self.faults:
            return Fault("")
        fault = self.faults[0]
        fault.count -= 1
        if fault.count <= 0:
            self.faults.popleft()
        return fault

    async def control(self, request):
        """Brings about a fault."""
        body = await request.read()
        self.faults.append(msgspec.json.decode(body, type=Fault))
        return web.Response()

    async def show(self, request):
        """Returns the journal."""
        return web.json_response(self.journal)


def run(host, port):
    """Serves the calls until the process is ended."""
    web.run_app(Service().app(), host=host, port=port, print=None)
