"""Organisations, their keys and their quotas.

Only digests of keys are kept. Looking up a digest in place of a key takes a
time that tells nothing about the keys that exist.
"""

import hashlib
import math

import msgspec

from samphirepost import errors

# Longest key, and most keys of one configuration: each is kept as a digest.
KEY_BYTES_MAX = 512
KEYS_MAX = 50_000
# Longest name: messages between daemons, which are datagrams, have many.
NAME_LENGTH_MAX = 100
DIGEST_BYTES = 16
# Characters of a key's digest in log lines: enough to tell keys apart.
LOGGED_DIGEST_CHARS = 8
_DIGEST_PURPOSE = b"samphirepost-key"


class Organisation(msgspec.Struct, frozen=True):
    """An organisation whose callers send requests.

    `priority` replaces that of its requests' routes, unless it is None. It
    may send `rate_per_s` requests a second and `burst` more at once; a rate
    of 0 means no quota.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def has_quota(self):
        """Whether the number of its requests is limited."""
        return self.rate_per_s > 0


class Directory(msgspec.Struct, frozen=True):
    """The organisations of one configuration, and the owner of each key.

    `names_by_digest` has the name of an organisation by key_digest().
    """

    by_name: dict[str, Organisation] = {}
    names_by_digest: dict[str, str] = {}

    @property
    def is_empty(self):
        """Whether the configuration declares no organisations."""
        return not self.by_name

    def find(self, digest):
        """Returns the Organisation of a key's digest, or None."""
        return self.by_name.get(self.names_by_digest.get(digest))

    def get(self, name):
        """Returns the Organisation with this name, or None."""
        return self.by_name.get(name)


EMPTY = Directory()


def key_digest(key):
    """Returns the hexadecimal digest of a key (bytes).

    Returns an empty text for a key that is empty or too long.
    """
    if not key or len(key) > KEY_BYTES_MAX:
        return ""
    return hashlib.blake2b(
        key, digest_size=DIGEST_BYTES, person=_DIGEST_PURPOSE
    ).hexdigest()


def logged_digest(digest):
    """Returns the part of a key's digest that log lines have."""
    return digest[:LOGGED_DIGEST_CHARS]


def build(entries):
    """Returns the Directory of pairs of an Organisation and its keys.

    Keys are texts. Returns a Failure if the entries are inconsistent; it
    names organisations, and never a key.
    """
    by_name = {}
    names_by_digest = {}
    for organisation, keys in entries:
        reason = _fault(organisation)
        if not reason and organisation.name in by_name:
            reason = "it is declared twice"
        if reason:
            return _failure(organisation, reason)
        by_name[organisation.name] = organisation
        for key in keys:
            digest = key_digest(key.encode(errors="surrogatepass"))
            if not digest:
                reason = f"a key is empty or over {KEY_BYTES_MAX} bytes"
                return _failure(organisation, reason)
            holder = names_by_digest.setdefault(digest, organisation.name)
            if holder != organisation.name:
                return _failure(organisation, f"a key is also {holder!r}'s")
        if len(names_by_digest) > KEYS_MAX:
            return _failure(organisation, f"more than {KEYS_MAX} keys in all")
    return Directory(by_name, names_by_digest)


def _fault(organisation):
    """Returns what is wrong with an organisation by itself, or None."""
    if not organisation.name or not organisation.name.isprintable():
        return "its name is empty or has control characters"
    if len(organisation.name) > NAME_LENGTH_MAX:
        return f"its name has more than {NAME_LENGTH_MAX} characters"
    if not organisation.name.isascii():
        return "its name has characters that a header cannot have"
    if organisation.name != organisation.name.strip():
        return "its name begins or ends with a space"
    for field in ("rate_per_s", "burst"):
        value = getattr(organisation, field)
        if not math.isfinite(value) or value < 0:
            return f"{field} must be a number from 0 on, not {value}"
    return None


def _failure(organisation, reason):
    text = f"organisation {organisation.name[:80]!r}: {reason}"
    return errors.Failure(errors.Kind.BAD_REQUEST, text)
