"""Stable hashes for partitions, rendezvous hashing and digests."""

import hashlib

import xxhash


def score(*parts):
    """Returns a 64-bit hash of the parts, the same on every VM."""
    return xxhash.xxh3_64_intdigest("\x00".join(parts).encode())


def fraction(text):
    """Returns a number in [0, 1), the same on every VM."""
    return score(text) / 2**64


def rendezvous(key, members):
    """Returns the member with the highest score for `key`.

    Returns None if there are no members.
    """
    return max(members, key=lambda member: score(key, member), default=None)


def ranked(key, members):
    """Returns the members from highest to lowest score for `key`."""
    return sorted(members, key=lambda member: -score(key, str(member)))


def digest(data):
    """Returns the hex SHA-256 of the bytes."""
    return hashlib.sha256(data).hexdigest()


def work_id(prefix, caller, key, partitions):
    """Returns the id of a caller's request or job with this idempotency key.

    `prefix` is "req" or "job". The id contains the partition, so any daemon
    can find the owner.
    """
    value = xxhash.xxh3_128_hexdigest(f"{caller}\x00{key}".encode())
    partition = int(value[:8], 16) % partitions
    return f"{prefix}-{partition:03x}-{value}"


def partition_of(work):
    """Returns the partition in a request's or job's id; None if malformed."""
    parts = work.split("-")
    if len(parts) != 3:
        return None
    try:
        return int(parts[1], 16)
    except ValueError:
        return None
