"""Property tests of what answers without a length show of an end."""

import itertools
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from samphirepost import endings

ENGINES = ("e1", "e2", "e3")
ASKS_MAX = 200


class Output:
    """An output of `total` events, asked for at engines that may cut answers.

    `count` is the number of events so far.
    """

    def __init__(self, total, engines=ENGINES):
        self.total = total
        self.count = 0
        self.ending = endings.EndEvidence()
        self._engines = itertools.cycle(engines)

    def ask(self, cut):
        """Asks the next engine; `cut(start)` is how many events it sends.

        At the end of the output it sends fewer.
        """
        engine = next(self._engines)
        start = self.ending.next_start(engine, self.count)
        end = min(self.total, start + cut(start))
        if start < self.count < end:
            self.ending.refute()
            return
        if not end:
            # A fresh answer without events is broken off.
            return
        self.count = max(self.count, end)
        self.ending.record_end(engine, start, end)


@pytest.mark.parametrize("engines", [ENGINES, ENGINES[:1]])
@hypothesis.given(st.integers(1, 30))
def test_an_output_whose_answers_never_have_a_length_ends(engines, total):
    output = Output(total, engines)
    asks = 0
    while not output.ending.is_certain:
        output.ask(lambda _: total)
        asks += 1
    assert output.count == total
    assert asks <= 2 + endings.REPEATS_MAX


# Engines that broke off after the head were witnesses of an end.
@hypothesis.given(st.integers(1, 30), st.data())
def test_answers_without_events_never_show_an_end(total, data):
    output = Output(total)
    first = data.draw(st.integers(1, total))
    output.ask(lambda _: first)
    for _ in range(ASKS_MAX):
        output.ask(lambda _: 0)
    assert not output.ending.is_certain


# An engine that breaks off after a number of events does so each time.
@hypothesis.given(st.integers(5, 30), st.integers(1, 30), st.integers(0, 20))
def test_breaking_off_after_some_events_shows_no_end(total, sent, resumed):
    output = Output(total)
    output.count = min(resumed, total - 1)
    for _ in range(ASKS_MAX):
        output.ask(lambda _: sent)
        if output.ending.is_certain:
            break
    assert not output.ending.is_certain or output.count == total


# Engines that break off at random now and then do not keep an output from
# ending, nor end it early.
@hypothesis.given(st.integers(8, 40), st.integers(0, 1_000_000))
def test_engines_that_break_off_at_random_show_the_end(total, seed):
    output = Output(total)
    rng = random.Random(seed)

    def cut(start):
        left = total - start
        return rng.randint(0, left) if rng.random() < 0.25 else left

    asks = 0
    while not output.ending.is_certain and asks < ASKS_MAX:
        output.ask(cut)
        asks += 1
    assert output.ending.is_certain
    assert output.count == total


def ended_at(count, *answers):
    """Returns the EndEvidence of answers, each an engine, start and end."""
    ending = endings.EndEvidence()
    for engine, start, end in (("e1", 0, count), *answers):
        ending.record_end(engine, start, end)
    return ending


def test_an_answer_that_ends_sooner_refutes_the_others():
    agreeing = ended_at(9, ("e1", 9, 9), ("e1", 7, 9), ("e1", 5, 9))
    assert agreeing.is_certain
    refuted = ended_at(
        9, ("e1", 9, 9), ("e1", 7, 9), ("e2", 7, 8), ("e1", 5, 9)
    )
    assert not refuted.is_certain


def test_an_answer_counts_once():
    ending = ended_at(9, ("e1", 9, 9), ("e1", 7, 9), ("e1", 7, 9))
    assert not ending.is_certain
    ending.record_end("e2", 7, 9)
    assert ending.is_certain
