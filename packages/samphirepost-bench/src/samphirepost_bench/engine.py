"""Emulator of a model engine for `samphirepostd`, in real time.

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

STEP_BASE_MS = 8.0
STEP_PER_SEQUENCE_MS = 0.06
STEP_PER_PREFILL_TOKEN_MS = 0.05
PREFILL_TOKENS_MAX = 2048
SEQUENCES_MAX = 256
KV_TOKENS_MAX = 120_000
BLOCK_TOKENS = 16
REPORT_AGE_MIN_S = 1.0
MODEL_LOAD_S = 0.3
WORDS = ("lily", "marsh", "reed", "sedge", "rush", "iris", "mint", "fern")
IMPOSSIBLE_MARKER = "[impossible]"
BROKEN_MARKER = "[broken]"


class Fault(msgspec.Struct):
    """A fault of the engine or of its next `count` streams.

    "leaving" and "freeze" affect the engine; a freeze lasts `seconds`. The
    faults of streams are "silent" (no response), "cut" (the stream stops
    early), and "crossed", "repeated" and "skipped" (one wrong event).
    """

    name: str
    count: int = 1
    seconds: float = 0.0


class Sequence:
    """One queued or running request."""

    __slots__ = (
        "blocks",
        "completion",
        "fault",
        "finished",
        "is_disconnected",
        "position",
        "prefill_left",
        "prompt_tokens",
        "reply",
    )

    def __init__(self, completion, blocks, prompt_tokens, fault):
        self.completion = completion
        self.blocks = blocks
        self.prompt_tokens = prompt_tokens
        self.prefill_left = 0
        self.position = completion.emitted
        self.fault = fault
        self.reply = None
        self.is_disconnected = False
        self.finished = asyncio.Event()

    @property
    def kv_tokens(self):
        """The KV cache memory that the sequence reserves, in tokens."""
        return self.prompt_tokens + self.completion.max_tokens


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
        self.step_scale = step_scale
        self.queued = collections.deque()
        self.running = []
        self.prefix_cache = collections.OrderedDict()
        self.work_arrived = asyncio.Event()
        self.reports = collections.deque()
        self.faults = collections.deque()
        self.leaving = False
        self.frozen_until_s = 0.0
        self.order = targetmessages.Order("", 0)
        self.step_ms = STEP_BASE_MS
        self.counts = collections.Counter()

    def app(self):
        """Returns the web application."""
        app = web.Application()
        app.router.add_post("/v1/completions", self.complete)
        app.router.add_get("/load", self.show_load)
        app.router.add_post("/orders", self.apply_order)
        app.router.add_post("/control", self.inject_fault)
        app.router.add_get("/counts", self.show_counts)
        app.on_startup.append(self.start_tasks)
        return app

    async def start_tasks(self, app):
        """Starts the tasks that run steps and record load reports."""
        app["steps"] = asyncio.create_task(self.step_forever())
        app["reports"] = asyncio.create_task(self.report_forever())

    async def complete(self, request):
        """Streams one completion."""
        completion = msgspec.json.decode(
            await request.read(), type=targetmessages.CompletionRequest
        )
        self.counts["requests"] += 1
        if self.leaving:
            self.counts["after_leaving"] += 1
        if IMPOSSIBLE_MARKER in completion.prompt:
            return web.Response(status=422, text="it can not be done")
        if BROKEN_MARKER in completion.prompt:
            return web.Response(status=500, text="it broke")
        sequence = self._make_sequence(completion)
        if sequence.fault == "silent":
            await asyncio.sleep(3600)
        reply = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        await reply.prepare(request)
        sequence.reply = reply
        self.queued.append(sequence)
        self.work_arrived.set()
        try:
            await sequence.finished.wait()
        finally:
            sequence.is_disconnected = True
        return reply

    def _make_sequence(self, completion):
        words = completion.prompt.split()
        blocks = _blocks(words)
        count = len(words) + completion.emitted
        sequence = Sequence(completion, blocks, count, self._next_fault())
        return sequence

    def _next_fault(self):
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
                self.work_arrived.clear()
                await self.work_arrived.wait()
                continue
            started_s = loop.time()
            prefill_tokens = self._prefill()
            self.step_ms = self.step_scale * (
                STEP_BASE_MS
                + STEP_PER_SEQUENCE_MS * len(self.running)
                + STEP_PER_PREFILL_TOKEN_MS * prefill_tokens
            )
            step_end_s = started_s + self.step_ms / 1000
            step_end_s = max(step_end_s, self.frozen_until_s)
            await asyncio.sleep(max(0.0, step_end_s - loop.time()))
            await self._emit_tokens()

    def _admit(self):
        """Admits queued sequences in order while KV memory is free."""
        used = sum(sequence.kv_tokens for sequence in self.running)
        while self.queued and len(self.running) < SEQUENCES_MAX:
            sequence = self.queued[0]
            if sequence.is_disconnected:
                self.queued.popleft()
                continue
            if used + sequence.kv_tokens > KV_TOKENS_MAX:
                return
            self.queued.popleft()
            used += sequence.kv_tokens
            cached = self._look_up_prefix(sequence)
            sequence.prefill_left = sequence.prompt_tokens - cached
            self.counts["prompt_tokens"] += sequence.prompt_tokens
            self.counts["cached_tokens"] += cached
            self.running.append(sequence)
        self._evict_blocks(KV_TOKENS_MAX - used)

    def _look_up_prefix(self, sequence):
        found = 0
        for block in sequence.blocks:
            if block not in self.prefix_cache:
                break
            self.prefix_cache.move_to_end(block)
            found += BLOCK_TOKENS
        return found

    def _evict_blocks(self, free_tokens):
        while len(self.prefix_cache) * BLOCK_TOKENS > max(0, free_tokens):
            self.prefix_cache.popitem(last=False)

    def _prefill(self):
        """Prefills running sequences; returns the prefill tokens used."""
        budget = PREFILL_TOKENS_MAX
        for sequence in self.running:
            chunk = min(budget, sequence.prefill_left)
            sequence.prefill_left -= chunk
            budget -= chunk
            if not sequence.prefill_left:
                for block in sequence.blocks:
                    self.prefix_cache[block] = None
            if not budget:
                break
        return PREFILL_TOKENS_MAX - budget

    async def _emit_tokens(self):
        still_running = []
        for sequence in self.running:
            if sequence.is_disconnected:
                self.counts["cancelled"] += 1
            elif sequence.prefill_left or await self._emit_token(sequence):
                still_running.append(sequence)
        self.running = still_running

    async def _emit_token(self, sequence):
        """Sends one token; returns whether the sequence is still running."""
        completion = sequence.completion
        data = _token_event(completion, sequence.position)
        if sequence.fault:
            data = self._corrupt(sequence, data)
        sequence.position += 1
        self.counts["tokens"] += 1
        is_last = sequence.position >= completion.max_tokens
        if is_last and sequence.fault != "truncated":
            data += _final_events(completion, sequence.position)
        try:
            await sequence.reply.write(data)
        except (ConnectionError, RuntimeError):
            self.counts["cancelled"] += 1
            sequence.finished.set()
            return False
        if is_last:
            sequence.finished.set()
        return not is_last

    def _corrupt(self, sequence, data):
        fault_position = sequence.completion.emitted + 2
        if sequence.position != fault_position:
            return data
        if sequence.fault == "crossed":
            other = msgspec.structs.replace(
                sequence.completion, request_id="another-request"
            )
            return _token_event(other, sequence.position)
        if sequence.fault == "repeated":
            return data + data
        if sequence.fault == "skipped":
            return b""
        if sequence.fault == "cut":
            sequence.position = sequence.completion.max_tokens
            sequence.fault = "truncated"
            return b""
        return data

    async def show_load(self, request):
        """Returns the newest load report that is at least 1 s old.

        During the first second the oldest report is returned.
        """
        now_s = time.monotonic()
        while len(self.reports) > 1 and (
            now_s - self.reports[1][0] >= REPORT_AGE_MIN_S
        ):
            self.reports.popleft()
        recorded_s, report = self.reports[0]
        report.age_s = now_s - recorded_s
        return web.Response(
            body=msgspec.json.encode(report), content_type="application/json"
        )

    async def report_forever(self):
        """Records a load report ten times a second."""
        while True:
            report = targetmessages.LoadReport(
                id=self.name,
                running=len(self.running),
                waiting=len(self.queued),
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

    async def apply_order(self, request):
        """Applies an order after the time that loading a model takes.

        An engine that checks orders refuses an old fencing number (409).
        """
        order = msgspec.json.decode(
            await request.read(), type=targetmessages.Order
        )
        if self.checks_orders and order.fencing < self.order.fencing:
            return web.Response(status=409)
        self.counts["orders"] += 1
        await asyncio.sleep(MODEL_LOAD_S)
        self.order = order
        return web.Response()

    async def inject_fault(self, request):
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
        found["waiting"] = len(self.queued)
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


def _token_event(completion, position):
    choice = targetmessages.Choice(text=token(completion.prompt, position))
    event = targetmessages.StreamEvent(
        completion.request_id, [choice], position
    )
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def _final_events(completion, position):
    choice = targetmessages.Choice(finish_reason="length")
    event = targetmessages.StreamEvent(
        completion.request_id, [choice], position
    )
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
