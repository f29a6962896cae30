"""Tests that the longest prefix wins, and no older table is applied."""

import hypothesis
from hypothesis import strategies

from samphirepost import routing


def route(name, prefix, host="shop.example", **fields):
    """Returns a stream route."""
    shares = (routing.Share("plants", 1.0),)
    return routing.Route(
        name, host, prefix, routing.Kind.STREAM, shares, **fields
    )


def table(revision, *routes):
    """Returns a table."""
    return routing.Table(revision, routes, {})


def test_the_longest_prefix_of_the_host_wins():
    """A narrower route gets its paths, the wider one the others."""
    found = table(
        1, route("wide", "/a/"), route("split", "/a/b/"), route("no", "/c/")
    )
    assert found.find_route("shop.example", "/a/b/x").name == "split"
    assert found.find_route("shop.example", "/a/bx").name == "wide"
    assert found.find_route("shop.example", "/b/") is None
    assert found.find_route("desk.example", "/a/") is None


@hypothesis.given(strategies.lists(strategies.integers(1, 50), min_size=1))
def test_tables_never_go_back(revisions):
    """The newest revision stays active in any order of arrival."""
    current = None
    for index, revision in enumerate(revisions):
        current = routing.newer_table(current, table(revision))
        assert current.revision == max(revisions[: index + 1])


def test_what_may_be_repeated_follows_from_the_kind():
    """A stream may be executed again only if it can be resumed."""
    assert not route("stream", "/").repeatable
    assert route("stream", "/", resumable=True).repeatable


def test_pools_are_picked_by_weight():
    """The random number selects a pool by the shares' weights."""
    shares = (routing.Share("a", 90.0), routing.Share("b", 10.0))
    made = routing.Route("r", "h", "/", routing.Kind.STREAM, shares)
    assert routing.pick_pool(made, lambda: 0.89) == "a"
    assert routing.pick_pool(made, lambda: 0.91) == "b"
