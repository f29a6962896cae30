"""Plans of faulty answers are drawn by a seed and written as they say."""

import itertools
import random

import h11
import pytest

from samphirepost import events
from samphirepost_bench import answerfaults

HEAD = ("HTTP/1.1 200 OK", "Request-Id: r1", "Response-Seal: s")
Place = answerfaults.Place
Framing = answerfaults.Framing
Verdict = answerfaults.Verdict
WITH_ALL_EVENTS = (Place.AFTER_LAST, Place.WHOLE)


def written(count, first=1):
    return [
        f"id: {number}\ndata: r1:{number}@v1\n\n".encode()
        for number in range(first, first + count)
    ]


def read(data):
    """Returns a reader's whole events, and whether it takes all for whole."""
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    conn.send(h11.EndOfMessage())
    parser = events.Parser()
    found = []
    conn.receive_data(data)
    conn.receive_data(b"")
    while True:
        try:
            event = conn.next_event()
        except h11.RemoteProtocolError:
            return found, False
        if isinstance(event, h11.Data):
            found.extend(parser.feed(bytes(event.data)))
        elif not isinstance(event, h11.Response):
            is_end = isinstance(event, h11.EndOfMessage)
            return found, is_end and not parser.incomplete


def all_plans():
    for place, framing, cut, splits_chunk in itertools.product(
        Place, Framing, (0.0, 0.2, 0.4, 0.6, 0.8, 0.99), (False, True)
    ):
        for count in (1, 2, 5, 40):
            yield answerfaults.Plan(
                framing, place, cut, count, splits_chunk=splits_chunk
            )


@pytest.mark.parametrize("count", [0, 1, 2, 8])
def test_an_answer_has_the_events_that_its_plan_names(count):
    for plan in all_plans():
        script = answerfaults.compose(plan, HEAD, written(count, first=5))
        found, is_whole = read(b"".join(script.pieces))
        assert len(found) == script.events, plan
        assert [one.id for one in found] == list(range(5, 5 + len(found)))
        if is_whole and plan.framing is not Framing.NONE:
            assert script.events == count, plan
        if plan.place is Place.WHOLE:
            assert is_whole and script.events == count, plan
        if plan.framing is Framing.NONE:
            assert is_whole == script.ends_plainly, plan


@pytest.mark.parametrize(
    "place", [one for one in Place if one not in WITH_ALL_EVENTS]
)
def test_an_answer_is_cut_where_its_plan_says(place):
    for plan in all_plans():
        if plan.place is place:
            script = answerfaults.compose(plan, HEAD, written(8))
            assert script.events < 8
            assert (
                place is Place.BETWEEN_EVENTS
                or not script.events
                or (place is Place.IN_EVENT)
            )


def test_answers_with_chunks_that_are_cut_are_never_stated_as_whole():
    for plan in all_plans():
        if plan.framing is Framing.CHUNKS and plan.place is not Place.WHOLE:
            script = answerfaults.compose(plan, HEAD, written(8))
            assert not read(b"".join(script.pieces))[1], plan


def test_a_second_answer_follows_as_a_whole_or_cut():
    for extra in answerfaults.Extra:
        plan = answerfaults.Plan(
            Framing.LENGTH, Place.WHOLE, cut=0.99, events=2, extra=extra
        )
        script = answerfaults.compose(plan, HEAD, written(3))
        assert read(b"".join(script.pieces)) == read(
            b"".join(script.pieces) + script.extra
        )
        assert not script.ends_plainly
        is_second = extra is answerfaults.Extra.SECOND
        assert (script.extra == b"".join(script.pieces)) == is_second
        assert bool(script.extra) == (extra is not answerfaults.Extra.NOTHING)


def test_plans_are_drawn_by_the_seed():
    drawn = [
        [
            answerfaults.draw(rng, answerfaults.Mix.ANY, True, 24)
            for _ in range(400)
        ]
        for rng in (random.Random(1), random.Random(1))
    ]
    assert drawn[0] == drawn[1]
    assert {one.place for one in drawn[0]} == set(Place)
    assert {one.framing for one in drawn[0]} == set(Framing)
    assert {one.extra for one in drawn[0]} == set(answerfaults.Extra)
    assert {one.is_killed for one in drawn[0]} == {False, True}


def test_a_mix_names_the_answers_without_a_length():
    rng = random.Random(1)
    for mix, is_item, is_unframed in (
        (answerfaults.Mix.ITEMS, True, True),
        (answerfaults.Mix.ITEMS, False, False),
        (answerfaults.Mix.ALL, True, True),
        (answerfaults.Mix.ALL, False, True),
    ):
        framings = {
            answerfaults.draw(rng, mix, is_item, 24).framing
            for _ in range(200)
        }
        assert (framings == {Framing.NONE}) == is_unframed


@pytest.mark.parametrize(
    ("text", "verdict"),
    [
        ("r1:1@v1\nr1:2@v1\nr1:3@v1", Verdict.WHOLE),
        ("r1:1@v1\nr1:2@v1", Verdict.PART),
        ("", Verdict.PART),
        ("r1:1@v1\nr1:2@v2\nr1:3@v2", Verdict.JOINED),
        ("r1:1@v1\nr1:3@v1", Verdict.WRONG),
        ("r1:2@v1\nr1:3@v1", Verdict.WRONG),
        ("r2:1@v1\nr2:2@v1\nr2:3@v1", Verdict.WRONG),
        ("r1:1@v1\nr1:2@v1\nr1:3@v1\nr1:4@v1", Verdict.WRONG),
    ],
)
def test_a_text_is_judged_by_the_whole_output(text, verdict):
    assert answerfaults.judge_text(text, "r1", 3) is verdict


@pytest.mark.parametrize(
    ("body", "verdict"),
    [
        (b"".join(written(3)), Verdict.WHOLE),
        (b"".join(written(2)), Verdict.PART),
        (b"", Verdict.PART),
        (b"".join(written(3)) + b"id: 4", Verdict.WRONG),
        (b"HTTP/1.1 200 OK\n" + b"".join(written(3)), Verdict.WRONG),
        (b"".join(written(3, first=2)), Verdict.WRONG),
    ],
)
def test_a_stream_is_judged_by_all_its_bytes(body, verdict):
    assert answerfaults.judge_body(body, "r1", 3) is verdict
