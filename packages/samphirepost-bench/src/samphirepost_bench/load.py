"""Open-loop load generator: seeded arrivals, streams read to their end.

Requests are sent at their arrival times, however slow the answers are.
"""

import asyncio
import json
import random
import time

import aiohttp
from hdrh import histogram as hdrh

PREFIX_WORDS = 96
LATENCY_MIN_US = 1
LATENCY_MAX_US = 120_000_000
# Significant digits that the histograms retain.
HISTOGRAM_DIGITS = 3


class ArrivalPattern:
    """Arrival rate per second: a mean, with periodic bursts.

    The last `burst_s` of each `burst_every_s` have `factor` times the mean.
    """

    __slots__ = ("burst_every_s", "burst_s", "factor", "mean")

    def __init__(self, mean, factor=1.0, burst_every_s=10.0, burst_s=3.0):
        self.mean = mean
        self.factor = factor
        self.burst_every_s = burst_every_s
        self.burst_s = burst_s

    def rate(self, at_s):
        """Returns the arrival rate per second, `at_s` after the start."""
        offset_s = at_s % self.burst_every_s
        in_burst = offset_s >= self.burst_every_s - self.burst_s
        return self.mean * (self.factor if in_burst else 1.0)

    def arrivals(self, run_s, seed):
        """Returns the times of all arrivals (s), by a Poisson process."""
        rng = random.Random(seed)
        max_rate = self.mean * max(1.0, self.factor)
        found, at_s = [], 0.0
        while True:
            at_s += rng.expovariate(max_rate)
            if at_s >= run_s:
                return found
            if rng.random() * max_rate < self.rate(at_s):
                found.append(at_s)


class LoadMetrics:
    """Latency histograms, outcomes and counters of a run's requests."""

    def __init__(self):
        self.first_token_us = hdrh.HdrHistogram(
            LATENCY_MIN_US, LATENCY_MAX_US, HISTOGRAM_DIGITS
        )
        self.gap_us = hdrh.HdrHistogram(
            LATENCY_MIN_US, LATENCY_MAX_US, HISTOGRAM_DIGITS
        )
        self.outcomes = {}
        self.tokens = 0
        self.late_first_tokens = 0

    def count_outcome(self, outcome):
        """Counts the outcome of one request."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    def summary(self):
        """Returns the figures as they are written to JSON."""
        return {
            "outcomes": self.outcomes,
            "tokens": self.tokens,
            "first_token_late": self.late_first_tokens,
            "first_ms": _percentiles(self.first_token_us),
            "gap_ms": _percentiles(self.gap_us),
        }


def _percentiles(found):
    return {
        f"p{share}": found.get_value_at_percentile(share) / 1000
        for share in (50, 95, 99)
    }


class LoadGenerator:
    """Sends completion requests to daemons in turn and reads the streams.

    Requests that arrive within the first `warmup_s` are not counted. A first
    token later than `late_s` after sending counts as late.
    """

    def __init__(self, urls, token, route, tokens, warmup_s, late_s=2.0):
        self._urls = urls
        self._token = token
        self._route = route
        self._tokens = tokens
        self._warmup_s = warmup_s
        self._late_s = late_s
        self.metrics = LoadMetrics()

    async def run(self, arrivals, prefixes=8):
        """Sends a request at each arrival time; returns when all finished."""
        timeout = aiohttp.ClientTimeout(total=60)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout, read_bufsize=4096
        ) as session:
            started_s = time.monotonic()
            tasks = []
            for number, at_s in enumerate(arrivals):
                wait_s = started_s + at_s - time.monotonic()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                prompt = make_prompt(number, number % prefixes)
                is_counted = at_s >= self._warmup_s
                request = self._request(session, number, prompt, is_counted)
                tasks.append(asyncio.create_task(request))
            await asyncio.gather(*tasks)

    async def _request(self, session, number, prompt, is_counted):
        url = self._urls[number % len(self._urls)]
        body = {
            "model": self._route,
            "prompt": prompt,
            "max_tokens": self._tokens,
            "stream": True,
        }
        headers = {"Authorization": f"Bearer {self._token}"}
        outcome = "lost"
        started_s = time.monotonic()
        try:
            async with session.post(
                f"{url}/v1/completions", json=body, headers=headers
            ) as reply:
                if reply.status != 200:
                    outcome = str(reply.status)
                else:
                    outcome = await self._read_stream(
                        reply, started_s, is_counted
                    )
        except (TimeoutError, aiohttp.ClientError) as exc:
            outcome = type(exc).__name__
        if is_counted:
            self.metrics.count_outcome(outcome)

    async def _read_stream(self, reply, started_s, is_counted):
        """Reads a stream; returns its outcome, "done" or "cut".

        The time to first token is measured from sending the request.
        """
        last_s = None
        is_complete = False
        async for data in reply.content.iter_any():
            now_s = time.monotonic()
            count = data.count(b'"position"')
            is_complete = is_complete or data.endswith(b"[DONE]\n\n")
            if is_counted and count:
                self._record_tokens(now_s, last_s, started_s, count)
            last_s = now_s
        return "done" if is_complete else "cut"

    def _record_tokens(self, now_s, last_s, started_s, count):
        self.metrics.tokens += count
        if last_s is None:
            first_s = now_s - started_s
            self.metrics.late_first_tokens += first_s > self._late_s
            self.metrics.first_token_us.record_value(
                max(1, int(first_s * 1e6))
            )
        else:
            gap_us = max(1, int((now_s - last_s) * 1e6 / count))
            self.metrics.gap_us.record_value(gap_us)


def make_prompt(number, prefix):
    """Returns a prompt of 96 words shared by prefix and 16 own words."""
    words = [f"guide{prefix}-{word}" for word in range(PREFIX_WORDS)]
    words += [f"question{number}-{word}" for word in range(16)]
    return " ".join(words)


def batch_lines(items, tokens, route="summary"):
    """Returns a job as JSON lines; all prompts share a 96-word prefix."""
    head = " ".join(f"order-rule-{word}" for word in range(PREFIX_WORDS))
    lines = []
    for number in range(items):
        tail = " ".join(f"line{number}-{word}" for word in range(16))
        body = {
            "model": route,
            "prompt": f"{head} {tail}",
            "max_tokens": tokens,
        }
        line = {"custom_id": f"order-{number}", "body": body}
        lines.append(json.dumps(line))
    return "\n".join(lines).encode()
