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

NO_ANSWER_S = 3600.0


class Mode(enum.Enum):
    """How a service handles requests.

    DOWN refuses the request with status 503. SLOW applies it after the delay.
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

    def to_json(self):
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
        self.request_numbers = itertools.count()
        self.reads = 0
        self.writes = 0

    def next_mode(self):
        """Returns the mode that applies to the next request."""
        number = next(self.request_numbers)
        if number % self.control.every:
            return Mode.OK
        return self.control.mode

    async def handle(self, request, operation):
        """Handles a request according to the service's mode.

        `operation` reads or changes the data and returns the answer; it runs
        at once, late or not at all.
        """
        mode = self.next_mode()
        delay_s = self.control.delay_ms / 1000
        if mode is Mode.DOWN:
            return web.Response(status=503)
        if mode is Mode.SILENT:
            await asyncio.sleep(NO_ANSWER_S)
        if mode is Mode.SLOW:
            await asyncio.sleep(delay_s)
        if mode is Mode.LATE:
            asyncio.get_running_loop().call_later(delay_s, operation)
            return _drop_connection(request)
        answer = operation()
        if mode is Mode.LOST:
            return _drop_connection(request)
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
        app.router.add_get("/rows", self.read_row)
        app.router.add_get("/scan", self.scan_rows)
        app.router.add_post("/transactions", self.write_rows)
        app.router.add_put("/objects/{name:.+}", self.put_object)
        app.router.add_get("/objects/{name:.+}", self.get_object)
        app.router.add_get("/vms", self.show_vms)
        app.router.add_post("/vms", self.set_vms)
        app.router.add_post("/control", self.set_mode)
        app.router.add_get("/counts", self.show_counts)
        return app

    async def read_row(self, request):
        """Returns one row."""
        service = self.services["table"]

        def operation():
            service.reads += 1
            row = self.rows.get(request.query["key"])
            if row is None:
                return web.Response(status=404)
            return web.json_response(row.to_json())

        return await service.handle(request, operation)

    async def scan_rows(self, request):
        """Returns the rows whose key starts with a prefix, in key order."""
        service = self.services["table"]

        def operation():
            service.reads += 1
            prefix = request.query["prefix"]
            found = [
                self.rows[key].to_json()
                for key in sorted(self.rows)
                if key.startswith(prefix)
            ]
            return web.json_response({"rows": found})

        return await service.handle(request, operation)

    async def write_rows(self, request):
        """Applies a transaction if all checked revisions match."""
        body = await request.read()
        transaction = msgspec.json.decode(body, type=Transaction)
        service = self.services["table"]

        def operation():
            service.writes += 1
            return self._apply(transaction)

        return await service.handle(request, operation)

    def _apply(self, transaction):
        current = {key: self._revision(key) for key in transaction.checks}
        if current != transaction.checks:
            return web.json_response(
                {"type": "conflict", "revisions": current}
            )
        written = {}
        for key, value in transaction.puts.items():
            revision = next(self.revisions)
            self.rows[key] = Row(key, revision, transaction.write, value)
            written[key] = revision
        return web.json_response({"type": "written", "revisions": written})

    def _revision(self, key):
        row = self.rows.get(key)
        return 0 if row is None else row.revision

    async def put_object(self, request):
        """Stores an object."""
        body = await request.read()
        service = self.services["object"]

        def operation():
            service.writes += 1
            self.objects[request.match_info["name"]] = body
            return web.Response()

        return await service.handle(request, operation)

    async def get_object(self, request):
        """Returns an object."""
        service = self.services["object"]

        def operation():
            service.reads += 1
            body = self.objects.get(request.match_info["name"])
            if body is None:
                return web.Response(status=404)
            return web.Response(body=body)

        return await service.handle(request, operation)

    async def show_vms(self, request):
        """Returns the VM list."""

        def operation():
            found = [msgspec.to_builtins(vm) for vm in self.vms.values()]
            return web.json_response({"vms": found})

        return await self.services["vms"].handle(request, operation)

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

    async def show_counts(self, request):
        """Returns each service's numbers of reads and writes so far."""
        found = {
            name: {"reads": service.reads, "writes": service.writes}
            for name, service in self.services.items()
        }
        return web.json_response(found)


def _drop_connection(request):
    """Closes the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def run(host, port):
    """Serves the platform until the process is terminated."""
    web.run_app(Platform().app(), host=host, port=port, print=None)
