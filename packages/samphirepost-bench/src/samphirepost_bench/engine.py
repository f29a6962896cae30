"""Emulator of a model engine, in real time, for the first daemon.

It batches continuously, admits requests in order of arrival and has no
priorities. A step takes 8 ms plus 0.06 ms for each running sequence and
0.05 ms for each prefill token of the step.
"""

import asyncio
import collections
import hashlib
import os
import time

from aiohttp import web
import msgspec

from samphirepost import targetmessages

STEP_MS = 8.0
SEQUENCE_MS = 0.06
PREFILL_MS = 0.05
PREFILL_TOKENS_MAX = 2048
SEQUENCES_MAX = 256
KV_TOKENS_MAX = 120_000
BLOCK_TOKENS = 16
REPORT_LAG_S = 1.0
LOAD_S = 0.3
WORDS = ("lily", "marsh", "reed", "sedge", "rush", "iris", "mint", "fern")
IMPOSSIBLE = "[impossible]"
BROKEN = "[broken]"


class Fault(msgspec.Struct):
    """A fault of the next `count` streams, or of the whole engine.

    `seconds` is the duration of a freeze; other faults ignore it.
    """

    name: str
    count: int = 1
    seconds: float = 0.0


class Sequence:
    """One queued or running request."""

    __slots__ = (
        "asked",
        "blocks",
        "fault",
        "gone",
        "position",
        "prefill_left",
        "prompt_tokens",
        "reply",
        "step_done",
    )

    def __init__(self, asked, blocks, prompt_tokens, fault):
        self.asked = asked
        self.blocks = blocks
        self.prompt_tokens = prompt_tokens
        self.prefill_left = 0
        self.position = asked.emitted
        self.fault = fault
        self.reply = None
        self.gone = False
        self.step_done = asyncio.Event()

    @property
    def kv_tokens(self):
        """The KV cache memory that the sequence reserves, in tokens."""
        return self.prompt_tokens + self.asked.max_tokens


def token(prompt, position):
    """Returns the token at a position; all engines give the same one."""
    seed = f"{prompt[:64]}\0{len(prompt)}\0{position}".encode()
    value = hashlib.blake2b(seed, digest_size=2).digest()
    return f" {WORDS[value[0] % len(WORDS)]}{value[1]:02x}"


def text(prompt, count):
    """Returns the expected answer of `count` tokens to a prompt."""
    return "".join(token(prompt, position) for position in range(count))


class Engine:
    """An engine's queue, running sequences, prefix cache and faults."""

    def __init__(self, name, checks_orders, step_scale):
        self.name = name
        self.checks_orders = checks_orders
        self.scale = step_scale
        self.waiting = collections.deque()
        self.running = []
        self.cache = collections.OrderedDict()
        self.wake = asyncio.Event()
        self.reports = collections.deque()
        self.faults = collections.deque()
        self.leaving = False
        self.frozen_until_s = 0.0
        self.order = targetmessages.Order("", 0)
        self.step_ms = STEP_MS
        self.counts = collections.Counter()

    def app(self):
        """Returns the web application."""
        app = web.Application()
        app.router.add_post("/v1/completions", self.complete)
        app.router.add_get("/load", self.load)
        app.router.add_post("/orders", self.take_order)
        app.router.add_post("/control", self.control)
        app.router.add_get("/counts", self.show_counts)
        app.on_startup.append(self.start)
        return app

    async def start(self, app):
        """Starts the tasks that run steps and record load reports."""
        app["steps"] = asyncio.create_task(self.step_forever())
        app["reports"] = asyncio.create_task(self.report_forever())

    async def complete(self, request):
        """Streams one completion."""
        asked = msgspec.json.decode(
            await request.read(), type=targetmessages.CompletionRequest
        )
        self.counts["requests"] += 1
        if self.leaving:
            self.counts["after_leaving"] += 1
        if IMPOSSIBLE in asked.prompt:
            return web.Response(status=422, text="it can not be done")
        if BROKEN in asked.prompt:
            return web.Response(status=500, text="it broke")
        sequence = self._sequence(asked)
        if sequence.fault == "silent":
            await asyncio.sleep(3600)
        reply = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        await reply.prepare(request)
        sequence.reply = reply
        self.waiting.append(sequence)
        self.wake.set()
        try:
            await sequence.step_done.wait()
        finally:
            sequence.gone = True
        return reply

    def _sequence(self, asked):
        words = asked.prompt.split()
        blocks = _blocks(words)
        count = len(words) + asked.emitted
        sequence = Sequence(asked, blocks, count, self._fault())
        return sequence

    def _fault(self):
        if not self.faults:
            return ""
        fault = self.faults[0]
        fault.count -= 1
        if fault.count <= 0:
            self.faults.popleft()
        return fault.name

    async def step_forever(self):
        """Runs engine steps in real time."""
        loop = asyncio.get_running_loop()
        while True:
            self._admit()
            if not self.running:
                self.wake.clear()
                await self.wake.wait()
                continue
            started_s = loop.time()
            prefilled = self._prefill()
            self.step_ms = self.scale * (
                STEP_MS
                + SEQUENCE_MS * len(self.running)
                + PREFILL_MS * prefilled
            )
            end_s = started_s + self.step_ms / 1000
            end_s = max(end_s, self.frozen_until_s)
            await asyncio.sleep(max(0.0, end_s - loop.time()))
            await self._emit()

    def _admit(self):
        """Admits queued sequences in order while KV memory is free."""
        used = sum(sequence.kv_tokens for sequence in self.running)
        while self.waiting and len(self.running) < SEQUENCES_MAX:
            sequence = self.waiting[0]
            if sequence.gone:
                self.waiting.popleft()
                continue
            if used + sequence.kv_tokens > KV_TOKENS_MAX:
                return
            self.waiting.popleft()
            used += sequence.kv_tokens
            cached = self._look_up(sequence)
            sequence.prefill_left = sequence.prompt_tokens - cached
            self.counts["prompt_tokens"] += sequence.prompt_tokens
            self.counts["cached_tokens"] += cached
            self.running.append(sequence)
        self._evict(KV_TOKENS_MAX - used)

    def _look_up(self, sequence):
        found = 0
        for block in sequence.blocks:
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            found += BLOCK_TOKENS
        return found

    def _evict(self, room):
        while len(self.cache) * BLOCK_TOKENS > max(0, room):
            self.cache.popitem(last=False)

    def _prefill(self):
        """Prefills running sequences; returns the prefill tokens used."""
        left = PREFILL_TOKENS_MAX
        for sequence in self.running:
            part = min(left, sequence.prefill_left)
            sequence.prefill_left -= part
            left -= part
            if not sequence.prefill_left:
                for block in sequence.blocks:
                    self.cache[block] = None
            if not left:
                break
        return PREFILL_TOKENS_MAX - left

    async def _emit(self):
        kept = []
        for sequence in self.running:
            if sequence.gone:
                self.counts["cancelled"] += 1
            elif sequence.prefill_left or await self._emit_one(sequence):
                kept.append(sequence)
        self.running = kept

    async def _emit_one(self, sequence):
        """Sends one token; returns whether the sequence is still running."""
        asked = sequence.asked
        data = _event(asked, sequence.position)
        if sequence.fault:
            data = self._spoil(sequence, data)
        sequence.position += 1
        self.counts["tokens"] += 1
        over = sequence.position >= asked.max_tokens
        if over and sequence.fault != "truncated":
            data += _end(asked, sequence.position)
        try:
            await sequence.reply.write(data)
        except (ConnectionError, RuntimeError):
            self.counts["cancelled"] += 1
            sequence.step_done.set()
            return False
        if over:
            sequence.step_done.set()
        return not over

    def _spoil(self, sequence, data):
        middle = sequence.asked.emitted + 2
        if sequence.position != middle:
            return data
        if sequence.fault == "crossed":
            other = msgspec.structs.replace(
                sequence.asked, request_id="another-request"
            )
            return _event(other, sequence.position)
        if sequence.fault == "repeated":
            return data + data
        if sequence.fault == "skipped":
            return b""
        if sequence.fault == "cut":
            sequence.position = sequence.asked.max_tokens
            sequence.fault = "truncated"
            return b""
        return data

    async def load(self, request):
        """Returns the newest load report that is at least 1 s old.

        During the first second the oldest report is returned.
        """
        now_s = time.monotonic()
        while len(self.reports) > 1 and (
            now_s - self.reports[1][0] >= REPORT_LAG_S
        ):
            self.reports.popleft()
        taken_s, report = self.reports[0]
        report.age_s = now_s - taken_s
        return web.Response(
            body=msgspec.json.encode(report), content_type="application/json"
        )

    async def report_forever(self):
        """Records a load report ten times a second."""
        while True:
            report = targetmessages.LoadReport(
                id=self.name,
                running=len(self.running),
                waiting=len(self.waiting),
                kv_tokens=sum(s.kv_tokens for s in self.running),
                kv_tokens_max=KV_TOKENS_MAX,
                step_ms=self.step_ms,
                prefill_backlog=sum(s.prefill_left for s in self.running),
                leaving=self.leaving,
                model=self.order.model,
                adapters=self.order.adapters,
                fencing=self.order.fencing,
            )
            self.reports.append((time.monotonic(), report))
            await asyncio.sleep(0.1)

    async def take_order(self, request):
        """Applies an order after the time that loading a model takes.

        An engine that checks orders refuses an old fencing number (409).
        """
        order = msgspec.json.decode(
            await request.read(), type=targetmessages.Order
        )
        if self.checks_orders and order.fencing < self.order.fencing:
            return web.Response(status=409)
        self.counts["orders"] += 1
        await asyncio.sleep(LOAD_S)
        self.order = order
        return web.Response()

    async def control(self, request):
        """Injects a fault into the engine or its next streams."""
        fault = msgspec.json.decode(await request.read(), type=Fault)
        if fault.name == "leaving":
            self.leaving = True
        elif fault.name == "freeze":
            loop = asyncio.get_running_loop()
            self.frozen_until_s = loop.time() + fault.seconds
        else:
            self.faults.append(fault)
        return web.Response()

    async def show_counts(self, request):
        """Returns the engine's counters as JSON."""
        found = dict(self.counts)
        found["running"] = len(self.running)
        found["waiting"] = len(self.waiting)
        found["model"] = self.order.model
        return web.json_response(found)


def _blocks(words):
    """Returns a prefix cache key for each full block of the prompt."""
    state = hashlib.blake2b(digest_size=8)
    found = []
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        state.update(" ".join(words[start : start + BLOCK_TOKENS]).encode())
        found.append(state.hexdigest())
    return found


def _event(asked, position):
    choice = targetmessages.Choice(text=token(asked.prompt, position))
    event = targetmessages.StreamEvent(asked.request_id, [choice], position)
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def _end(asked, position):
    choice = targetmessages.Choice(finish_reason="length")
    event = targetmessages.StreamEvent(asked.request_id, [choice], position)
    return b"data: " + msgspec.json.encode(event) + b"\n\ndata: [DONE]\n\n"


def run(name, host, port, checks_orders, step_scale):
    """Serves the engine until the process is terminated."""
    engine = Engine(name, checks_orders, step_scale)
    web.run_app(
        engine.app(),
        host=host,
        port=port,
        print=None,
        handler_cancellation=True,
        backlog=1024,
    )
    os._exit(0)
