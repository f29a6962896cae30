"""Tests the budget of bytes: its sums, and what a holder leaves to others."""

import hypothesis
from hypothesis import strategies

from samphirepost import memorybudget

TOTAL_BYTES = memorybudget.budget_bytes(160.0)
STEP_BYTES = 16_384
KIND = memorybudget.Kind.CALLER
SIZES = strategies.integers(0, TOTAL_BYTES // 3)
HOLDERS = strategies.sampled_from(["a", "b", "c"])
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(list(memorybudget.Kind)),
        HOLDERS,
        SIZES,
        strategies.booleans(),
    ),
    max_size=60,
)


def budget():
    """Returns an unused Budget of TOTAL_BYTES."""
    return memorybudget.Budget(TOTAL_BYTES)


def fill(found, holder):
    """Takes as much as one holder gets, in steps."""
    while found.take(KIND, holder, STEP_BYTES):
        continue


@hypothesis.given(STEPS)
def test_the_parts_never_exceed_the_total(steps):
    """Guards against bytes that are granted twice or lost."""
    found = budget()
    accounts = {}
    for kind, holder, count, is_taken in steps:
        key = (kind, holder)
        if key not in accounts:
            accounts[key] = found.account(kind, holder)
        if is_taken:
            accounts[key].take(count)
        else:
            accounts[key].give_back(count)
        for one in memorybudget.Kind:
            held = sum(
                account.held
                for (kind_held, _), account in accounts.items()
                if kind_held is one
            )
            assert found.held(one) == held <= found.size(one)
    assert sum(map(found.size, memorybudget.Kind)) <= TOTAL_BYTES
    for account in accounts.values():
        account.close()
        account.close()
    assert not any(map(found.held, memorybudget.Kind))


@hypothesis.given(strategies.lists(SIZES, min_size=1, max_size=20))
def test_one_holder_gets_half_at_most(counts):
    """Also with one large piece, which must leave the others their part."""
    found = budget()
    for count in counts:
        found.take(KIND, "a", count)
    assert found.held_by(KIND, "a") <= found.size(KIND) / 2


def test_a_holder_gets_the_largest_size_in_calm():
    """Else a reader refuses for good what would have been served."""
    found = budget()
    assert not found.take(KIND, "a", found.largest(KIND) + 1)
    assert found.take(KIND, "a", found.largest(KIND))


@hypothesis.given(strategies.integers(1, 16))
def test_there_is_room_for_one_more_small_holder(count):
    """Holders that take all they can get must not shut a new one out.

    They come one after the other, and each halves what is free.
    """
    found = budget()
    for number in range(count):
        fill(found, number)
    assert found.take(KIND, "new", memorybudget.SMALL_BYTES)


def test_the_smallest_vm_holds_legal_bodies():
    """Two bodies of callers with a copy each; one order of a peer."""
    found = budget()
    legal_bytes = 4_194_304
    extra_bytes = 65_536
    for holder in ("a", "b"):
        assert found.take(KIND, holder, 2 * legal_bytes + extra_bytes)
    relay = memorybudget.Kind.RELAY
    assert found.take(relay, "peer", legal_bytes + extra_bytes)


@hypothesis.given(HOLDERS, SIZES)
def test_a_refusal_takes_nothing_and_is_counted(holder, count):
    """Else a refused reader shrinks the budget for good."""
    found = budget()
    fill(found, "full")
    held, refused = found.held(KIND), found.refused[KIND]
    if not found.take(KIND, holder, count):
        assert found.held(KIND) == held
        assert found.refused[KIND] == refused + 1


def test_a_full_part_leaves_the_other_parts_free():
    """Callers that fill theirs must not end streams of engines."""
    found = budget()
    for number in range(20):
        fill(found, number)
    for kind in memorybudget.Kind:
        if kind is not KIND:
            assert found.take(kind, "a", found.size(kind) // 3)


def test_nothing_taken_leaves_no_trace():
    """A holder of no bytes must not stay in the table of holders."""
    found = budget()
    assert found.take(KIND, "a", 0)
    assert found.held_by(KIND, "a") == 0
    assert not found._parts[KIND].held


def test_accounts_of_one_holder_share_its_bound():
    """A caller must not get more by opening a second account."""
    found = budget()
    half = int((1 - memorybudget.RESERVE_SHARE) * found.size(KIND)) // 2
    first = found.account(KIND, "a")
    second = found.account(KIND, "a")
    assert first.take(half)
    assert not second.take(1)
    first.give_back(1)
    assert second.take(1)


def test_more_than_was_taken_cannot_be_given_back():
    """Else a reader that counts twice frees the bytes of others."""
    found = budget()
    account = found.account(KIND, "a")
    account.take(10)
    account.give_back(20)
    assert (account.held, found.held(KIND)) == (0, 0)


def test_a_vm_of_unknown_size_counts_as_the_smallest():
    """A larger default would exceed the memory of the smallest VMs."""
    assert memorybudget.budget_bytes(0) == memorybudget.budget_bytes(
        memorybudget.MEMORY_DEFAULT_MB
    )
    assert memorybudget.budget_bytes(320) == 2 * memorybudget.budget_bytes(160)
