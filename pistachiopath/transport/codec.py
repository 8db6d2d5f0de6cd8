"""Conversion between messages and Cap'n Proto bytes."""

from __future__ import annotations

import functools
import typing
from pathlib import Path

import attrs
import capnp

from ..errors.transport import MalformedFrame, Unencodable
from ..messages.base import INDEPENDENT
from ..messages.envelope import Envelope
from ..messages.registry import MESSAGE_PATHS, message_type
from .names import camel, union_name

if typing.TYPE_CHECKING:
    from ..messages.base import Message

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name('messages.capnp')))

TRAVERSAL_LIMIT_WORDS = 8 * 1024 * 1024
NESTING_LIMIT = 16
# Errors of values that are too large, not encodable or of another type.
ENCODE_ERRORS = (
    capnp.KjException,
    ArithmeticError,
    AttributeError,
    TypeError,
    ValueError,
)


class _Field:
    """One field of a message: its names and how its value is converted.

    Items of a list that `is_independent` may be left out.  `read` converts a
    Cap'n Proto value to the field's value.  It is None for values that need no
    conversion.
    """

    __slots__ = (
        'name',
        'wire_name',
        'item_type',
        'is_message',
        'is_independent',
        'read',
    )

    def __init__(self, *, name: str, tp: type, is_independent: bool) -> None:
        self.name = name
        self.wire_name = camel(name)
        self.item_type = typing.get_args(tp)[0] if typing.get_origin(tp) else None
        self.is_message = attrs.has(self.item_type or tp)
        self.is_independent = is_independent
        self.read = self._reader(tp)

    def _reader(self, tp: type) -> typing.Callable | None:
        if self.item_type is None:
            return functools.partial(_read, tp) if self.is_message else None
        if self.is_message:
            item_type = self.item_type
            return lambda readers: tuple(_read(item_type, reader) for reader in readers)
        return tuple


_fields_by_class: dict[type, list[_Field]] = {}


def _message_fields(cls: type) -> list[_Field]:
    fields = _fields_by_class.get(cls)
    if fields is None:
        attrs.resolve_types(cls)
        fields = [
            _Field(
                name=f.name,
                tp=f.type,
                is_independent=f.metadata.get(INDEPENDENT, False),
            )
            for f in attrs.fields(cls)
        ]
        _fields_by_class[cls] = fields
    return fields


def _write(builder: typing.Any, msg: Message) -> None:
    """Write all fields of a message; raises `Unencodable`."""
    for field in _message_fields(type(msg)):
        try:
            _write_field(builder, field, getattr(msg, field.name))
        except ENCODE_ERRORS as exc:
            raise Unencodable(
                message=type(msg).__name__, field=field.name, reason=type(exc).__name__
            ) from exc


def _write_field(builder: typing.Any, field: _Field, value: typing.Any) -> None:
    if field.item_type is None and not field.is_message:
        setattr(builder, field.wire_name, value)
    elif field.item_type is None:
        _write(builder.init(field.wire_name), value)
    elif value:
        _write_list(builder.init(field.wire_name, len(value)), field, value)


def _write_list(builder: typing.Any, field: _Field, values: tuple) -> None:
    for position, value in enumerate(values):
        if field.is_message:
            _write(builder[position], value)
        else:
            builder[position] = value


def _read(cls: type, reader: typing.Any) -> Message:
    values = {}
    for field in _message_fields(cls):
        value = getattr(reader, field.wire_name)
        values[field.name] = value if field.read is None else field.read(value)
    return cls(**values)


_PATHS_BY_MEMBER = {union_name(path.rpartition('.')[2]): path for path in MESSAGE_PATHS}


@functools.cache
def _class_of(member: str) -> type:
    """Return the message class of a union member; raises KeyError."""
    return message_type(_PATHS_BY_MEMBER[member])


@functools.cache
def _member_of(cls: type) -> str:
    """Return the union member of a message class; raises KeyError."""
    member = union_name(cls.__name__)
    if _class_of(member) is not cls:
        raise KeyError(cls)
    return member


def encode(envelope: Envelope) -> bytes:
    """Return the encoded envelope; raises `Unencodable`."""
    root = _schema.Envelope.new_message()
    root.call = envelope.call
    _write(root.init(_member_of(type(envelope.body))), envelope.body)
    return root.to_bytes()


def without_unencodable(msg: Message) -> tuple[Message, list[Unencodable]]:
    """Return a message without the independent items that can't be encoded.

    Also returns the error of each item that was left out.
    """
    errors: list[Unencodable] = []
    kept: dict[str, tuple] = {}
    for field in _message_fields(type(msg)):
        if field.is_independent:
            values = getattr(msg, field.name)
            kept[field.name] = _encodable_items(type(msg), field, values, errors)
    return attrs.evolve(msg, **kept), errors


def _encodable_items(
    cls: type, field: _Field, values: tuple, errors: list[Unencodable]
) -> tuple:
    """Return the items that can be encoded; append the others' errors."""
    kept = []
    for value in values:
        builder = getattr(_schema, cls.__name__).new_message()
        try:
            _write_list(builder.init(field.wire_name, 1), field, (value,))
        except Unencodable as exc:
            errors.append(exc)
        except ENCODE_ERRORS as exc:
            reason = type(exc).__name__
            errors.append(
                Unencodable(message=cls.__name__, field=field.name, reason=reason)
            )
        else:
            kept.append(value)
    return tuple(kept)


def decode(data: bytes) -> Envelope:
    """Return the envelope in `data`; raises `MalformedFrame`."""
    try:
        with _schema.Envelope.from_bytes(
            data,
            traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
            nesting_limit=NESTING_LIMIT,
        ) as root:
            name = str(root.which())
            body = _read(_class_of(name), getattr(root, name))
            return Envelope(call=root.call, body=body)
    except (capnp.KjException, KeyError, ValueError, UnicodeDecodeError) as exc:
        raise MalformedFrame(reason=type(exc).__name__) from exc


def encode_message(msg: Message) -> bytes:
    """Return the bytes of a message outside a call, for logs and files.

    Raises `Unencodable`.
    """
    return encode(Envelope(call=0, body=msg))


def decode_message(data: bytes) -> Message:
    """Return the message written by `encode_message`; raises `MalformedFrame`."""
    return decode(data).body
