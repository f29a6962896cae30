"""Emulator of the platform: table service, object store and VM list.

Each service has a mode, set over HTTP, in which it refuses requests, delays
them, closes the connection after a write was applied, applies a write late,
or never answers.
"""

import asyncio
import base64
import enum
import itertools

from aiohttp import web
import msgspec

SILENCE_S = 3600.0


class Mode(enum.Enum):
    """How a service handles requests.

    LOST applies the request and closes the connection without an answer.
    LATE closes the connection and applies the request after the delay.
    SILENT keeps the connection open without an answer.
    """

    OK = "ok"
    DOWN = "down"
    SLOW = "slow"
    LOST = "lost"
    LATE = "late"
    SILENT = "silent"


class Control(msgspec.Struct):
    """Sets a service's mode; it affects every `every`-th request."""

    service: str
    mode: Mode
    delay_ms: int = 0
    every: int = 1


class Transaction(msgspec.Struct):
    """Revision checks and puts that are applied atomically."""

    write: str
    checks: dict[str, int]
    puts: dict[str, bytes]


class VmEntry(msgspec.Struct):
    """One VM of the VM list."""

    id: str
    state: str
    address: str = ""


class Row:
    """A row of the table service.

    `write` is the id of the transaction that wrote it.
    """

    __slots__ = ("key", "revision", "value", "write")

    def __init__(self, key, revision, write, value):
        self.key = key
        self.revision = revision
        self.write = write
        self.value = value

    def shown(self):
        """Returns the row as a JSON object, its value in base64."""
        return {
            "key": self.key,
            "revision": self.revision,
            "write": self.write,
            "value": base64.b64encode(self.value).decode(),
        }


class Service:
    """One service's mode and its counts of reads and writes."""

    def __init__(self):
        self.control = Control("", Mode.OK)
        self.calls = itertools.count()
        self.reads = 0
        self.writes = 0

    def struck(self):
        """Returns the mode that applies to the next request."""
        number = next(self.calls)
        if number % self.control.every:
            return Mode.OK
        return self.control.mode

    async def pass_through(self, request, effect):
        """Handles a request as the service's mode demands.

        `effect` reads or changes the data and returns the answer; it runs at
        once, late or not at all.
        """
        mode = self.struck()
        delay_s = self.control.delay_ms / 1000
        if mode is Mode.DOWN:
            return web.Response(status=503)
        if mode is Mode.SILENT:
            await asyncio.sleep(SILENCE_S)
        if mode is Mode.SLOW:
            await asyncio.sleep(delay_s)
        if mode is Mode.LATE:
            asyncio.get_running_loop().call_later(delay_s, effect)
            return _lose(request)
        answer = effect()
        if mode is Mode.LOST:
            return _lose(request)
        return answer


class Platform:
    """The data and HTTP handlers of all three services."""

    def __init__(self):
        self.rows = {}
        self.objects = {}
        self.vms = {}
        self.revisions = itertools.count(1)
        self.services = {
            "table": Service(),
            "object": Service(),
            "vms": Service(),
        }

    def app(self):
        """Returns the web application."""
        app = web.Application(client_max_size=1 << 30)
        app.router.add_get("/rows", self.read)
        app.router.add_get("/scan", self.scan)
        app.router.add_post("/transactions", self.write)
        app.router.add_put("/objects/{name:.+}", self.put)
        app.router.add_get("/objects/{name:.+}", self.get)
        app.router.add_get("/vms", self.list_vms)
        app.router.add_post("/vms", self.set_vms)
        app.router.add_post("/control", self.set_mode)
        app.router.add_get("/counts", self.counts)
        return app

    async def read(self, request):
        """Returns one row."""
        service = self.services["table"]

        def effect():
            service.reads += 1
            row = self.rows.get(request.query["key"])
            if row is None:
                return web.Response(status=404)
            return web.json_response(row.shown())

        return await service.pass_through(request, effect)

    async def scan(self, request):
        """Returns the rows whose key starts with a prefix, in key order."""
        service = self.services["table"]

        def effect():
            service.reads += 1
            prefix = request.query["prefix"]
            found = [
                self.rows[key].shown()
                for key in sorted(self.rows)
                if key.startswith(prefix)
            ]
            return web.json_response({"rows": found})

        return await service.pass_through(request, effect)

    async def write(self, request):
        """Applies a transaction if all checked revisions match."""
        body = await request.read()
        transaction = msgspec.json.decode(body, type=Transaction)
        service = self.services["table"]

        def effect():
            service.writes += 1
            return self._apply(transaction)

        return await service.pass_through(request, effect)

    def _apply(self, transaction):
        at = {key: self._revision(key) for key in transaction.checks}
        if at != transaction.checks:
            return web.json_response({"type": "conflict", "revisions": at})
        written = {}
        for key, value in transaction.puts.items():
            revision = next(self.revisions)
            self.rows[key] = Row(key, revision, transaction.write, value)
            written[key] = revision
        return web.json_response({"type": "written", "revisions": written})

    def _revision(self, key):
        row = self.rows.get(key)
        return 0 if row is None else row.revision

    async def put(self, request):
        """Stores an object."""
        body = await request.read()
        service = self.services["object"]

        def effect():
            service.writes += 1
            self.objects[request.match_info["name"]] = body
            return web.Response()

        return await service.pass_through(request, effect)

    async def get(self, request):
        """Returns an object."""
        service = self.services["object"]

        def effect():
            service.reads += 1
            body = self.objects.get(request.match_info["name"])
            if body is None:
                return web.Response(status=404)
            return web.Response(body=body)

        return await service.pass_through(request, effect)

    async def list_vms(self, request):
        """Returns the VM list."""

        def effect():
            found = [msgspec.to_builtins(vm) for vm in self.vms.values()]
            return web.json_response({"vms": found})

        return await self.services["vms"].pass_through(request, effect)

    async def set_vms(self, request):
        """Adds VMs to the list or changes them."""
        body = await request.read()
        for entry in msgspec.json.decode(body, type=list[VmEntry]):
            self.vms[entry.id] = entry
        return web.Response()

    async def set_mode(self, request):
        """Sets the mode of one service."""
        body = await request.read()
        control = msgspec.json.decode(body, type=Control)
        self.services[control.service].control = control
        return web.Response()

    async def counts(self, request):
        """Returns each service's numbers of reads and writes so far."""
        found = {
            name: {"reads": service.reads, "writes": service.writes}
            for name, service in self.services.items()
        }
        return web.json_response(found)


def _lose(request):
    """Closes the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def run(host, port):
    """Serves the platform until the process is terminated."""
    web.run_app(Platform().app(), host=host, port=port, print=None)
