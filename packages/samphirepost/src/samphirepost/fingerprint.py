"""Identifies requests that have the same content, whatever their ids."""

import hashlib

DIGEST_BYTES = 12


def request_digest(method, host, path, caller, body):
    """Returns the digest of a request, 24 hexadecimal digits.

    Two requests of one caller with the same method, host, path (with its
    query) and body have the same digest. `caller` is the caller's credential
    or name, empty if there is none; `body` is bytes, all others are texts.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (method, host, path, caller):
        field = text.encode(errors="surrogateescape")
        digest.update(len(field).to_bytes(4, "big"))
        digest.update(field)
    digest.update(body)
    return digest.hexdigest()
