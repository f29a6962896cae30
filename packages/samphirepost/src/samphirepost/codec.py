"""Encodes typed values: MessagePack for peers and storage, JSON for HTTP."""

import msgspec

from samphirepost import errors

# Raised by msgspec for bytes that hold no value of the type: text that is not
# UTF-8, numbers with too many digits and deep nesting included.
UNREADABLE = (
    msgspec.MsgspecError,
    ValueError,
    OverflowError,
    RecursionError,
)
# Raised by msgspec for values that MessagePack cannot hold, as numbers of more
# than 64 bits.
UNWRITABLE = (msgspec.MsgspecError, OverflowError, TypeError, ValueError)
REASON_LENGTH_MAX = 200

_packer = msgspec.msgpack.Encoder()


def pack(value):
    """Returns the MessagePack bytes of a typed value."""
    return _packer.encode(value)


def unpack(data, kind):
    """Returns the value of type `kind` decoded from MessagePack bytes.

    Raises one of UNREADABLE; for bytes that this build itself has written.
    """
    return msgspec.msgpack.decode(data, type=kind)


def read(data, kind):
    """Returns the value of type `kind` decoded from MessagePack bytes.

    Returns a Failure for bytes that cannot be read: another build, or another
    writer, may have written them.
    """
    try:
        return unpack(data, kind)
    except UNREADABLE as exc:
        return _unreadable(exc)


def to_json(value):
    """Returns the JSON bytes of a typed value."""
    return msgspec.json.encode(value)


def from_json(data, kind):
    """Returns the value of type `kind` decoded from JSON, or a Failure."""
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as exc:
        return errors.Failure(errors.Kind.BAD_REQUEST, str(exc))
    except UNREADABLE as exc:
        return _unreadable(exc)


def _unreadable(exc):
    return errors.Failure(errors.Kind.BAD_JSON, str(exc)[:REASON_LENGTH_MAX])
