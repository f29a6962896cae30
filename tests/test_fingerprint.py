"""Tests which requests count as the same one."""

import hypothesis
from hypothesis import strategies

from samphirepost import fingerprint

texts = strategies.text(max_size=4)
contents = strategies.tuples(
    texts, texts, texts, texts, strategies.binary(max_size=4)
)


@hypothesis.given(contents, contents)
def test_only_equal_contents_have_the_same_digest(one, other):
    """A field that ends early is not continued by the next one."""
    same = fingerprint.request_digest(*one) == fingerprint.request_digest(
        *other
    )
    assert same == (one == other)


def test_a_path_that_is_no_text_has_a_digest():
    """Paths arrive as bytes of any kind, decoded with surrogates."""
    path = b"/notes/\xff".decode(errors="surrogateescape")
    assert fingerprint.request_digest("POST", "h", path, "", b"")
