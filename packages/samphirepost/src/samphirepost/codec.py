"""Encodes typed values: MessagePack for peers and storage, JSON for HTTP."""

import msgspec

from samphirepost import errors

_packer = msgspec.msgpack.Encoder()


def pack(value):
    """Returns the MessagePack bytes of a typed value."""
    return _packer.encode(value)


def unpack(data, kind):
    """Returns the value of type `kind` decoded from MessagePack bytes.

    Raises msgspec.DecodeError or msgspec.ValidationError.
    """
    return msgspec.msgpack.decode(data, type=kind)


def to_json(value):
    """Returns the JSON bytes of a typed value."""
    return msgspec.json.encode(value)


def from_json(data, kind):
    """Returns the value of type `kind` decoded from JSON, or a Failure."""
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as exc:
        return errors.Failure(errors.Kind.BAD_REQUEST, str(exc))
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return errors.Failure(errors.Kind.BAD_JSON, str(exc))
