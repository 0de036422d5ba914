"""Builds instances of attrs classes from JSON values and reports all errors at once.

Field metadata holds the constraints: `number_field` sets the allowed range, and
`key_metadata` the name of the field in a file where that differs from the attribute.
"""

import enum
import functools
import types
import typing

import attrs

from peridotcove.exceptions import InvalidSettings, SettingError

TYPE_DESCRIPTIONS = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}


def number_field(low, high, default=attrs.NOTHING, protocol=0):
    """Return an attrs field for a number in a closed range.

    Parameters
    ----------
    low, high : int or float
        Lowest and highest allowed value.
    default : int or float
        Value if the file does not set the field.
    protocol : int
        As of `added_field`; 0 if all builds know the field.
    """
    metadata = {"low": low, "high": high, "protocol": protocol}
    return attrs.field(default=default, metadata=metadata)


def added_field(protocol, default):
    """Return an attrs field that builds of older protocols refuse as unknown.

    Parameters
    ----------
    protocol : int
        First protocol between nodes whose builds know it.
    default : object
        Value if the file does not set the field.
    """
    return attrs.field(default=default, metadata={"protocol": protocol})


def find_added_keys(cls):
    """Return the protocol by key of the fields that some builds don't know.

    Parameters
    ----------
    cls : type
        An attrs class; the classes of its fields are searched too.
    """
    protocol_by_key = {}
    for spec in attrs.fields(cls):
        if spec.metadata.get("protocol"):
            protocol_by_key[_file_key(spec)] = spec.metadata["protocol"]
        for kind in (spec.type, *typing.get_args(spec.type)):
            if isinstance(kind, type) and attrs.has(kind):
                protocol_by_key |= find_added_keys(kind)
    return protocol_by_key


def find_range(cls, name):
    """Return the lowest and the highest allowed value of a field.

    Parameters
    ----------
    cls : type
        An attrs class.
    name : str
        Attribute that `number_field` made.
    """
    metadata = getattr(attrs.fields(cls), name).metadata
    return metadata["low"], metadata["high"]


def key_metadata(name):
    """Return field metadata that sets the field's name in a file.

    Parameters
    ----------
    name : str
        Name of the field in the file.
    """
    return {"key": name}


def build(cls, raw, path):
    """Return an instance of an attrs class made from a JSON value.

    Parameters
    ----------
    cls : type
        An attrs class.
    raw : object
        The JSON value.
    path : str
        Path of the value in the configuration, for error messages.

    Raises
    ------
    InvalidSettings
        With one `SettingError` for each fault.
    """
    faults = []
    value = _build(cls, raw, path, faults)
    if faults:
        raise InvalidSettings(f"{path} is not valid", faults)
    return value


def build_partly(cls, raw, path):
    """Return an instance without its invalid members, and all faults.

    Parameters
    ----------
    cls : type
        An attrs class whose fields all have defaults.
    raw : object
        The JSON value.
    path : str
        Path of the value in the configuration, for error messages.

    Returns
    -------
    value : object
        An instance of the class; invalid fields have their defaults, and invalid
        members of its dictionaries are left out.
    faults : list of SettingError
        One for each fault.
    """
    faults = []
    if not isinstance(raw, dict):
        return cls(), [SettingError(path, raw, "an object")]
    _build(
        cls,
        {
            field_key: raw[field_key]
            for field_key in raw
            if not _is_field(cls, field_key)
        },
        path,
        faults,
    )
    values = {}
    for spec in attrs.fields(cls):
        field_key = _file_key(spec)
        if field_key not in raw:
            continue
        inner = f"{path}.{field_key}"
        count = len(faults)
        value = _build(spec.type, raw[field_key], inner, faults)
        _check_range(spec, value, inner, faults)
        if isinstance(value, dict):
            values[spec.name] = {k: v for k, v in value.items() if v is not None}
        elif len(faults) == count:
            values[spec.name] = value
    return cls(**values), faults


def _is_field(cls, field_key):
    return field_key in _map_specs(cls)


def dump(value):
    """Return the JSON value of an attrs instance, without fields at their defaults.

    Parameters
    ----------
    value : object
        An attrs instance, or the value of a field of one.
    """
    if attrs.has(type(value)):
        return _dump_instance(value)
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, dict):
        return {name: _dump_member(item) for name, item in value.items()}
    if isinstance(value, tuple):
        return [dump(item) for item in value]
    return value


def _dump_instance(value):
    raw = {}
    for spec in attrs.fields(type(value)):
        item = getattr(value, spec.name)
        if not _is_default(spec, item):
            raw[_file_key(spec)] = dump(item)
    return raw


def _dump_member(item):
    raw = dump(item)
    if isinstance(raw, dict) and attrs.has(type(item)):
        raw.pop("name", None)
    return raw


def _is_default(spec, item):
    default = spec.default
    if isinstance(default, attrs.Factory):
        default = default.factory()
    return default is not attrs.NOTHING and item == default


def _file_key(spec):
    return spec.metadata.get("key", spec.name)


@functools.cache
def _find_builder(kind):
    """Return the function that builds values of a type; types are few and static."""
    if attrs.has(kind):
        return functools.partial(_build_instance, kind)
    origin = typing.get_origin(kind)
    if origin is tuple:
        return functools.partial(_build_tuple, typing.get_args(kind)[0])
    if origin is dict:
        return functools.partial(_build_dict, typing.get_args(kind)[1])
    if origin in (typing.Union, types.UnionType):
        inner = [arg for arg in typing.get_args(kind) if arg is not type(None)][0]
        return functools.partial(_build_optional, inner)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return functools.partial(_build_enum, kind)
    return functools.partial(_build_scalar, kind)


@functools.cache
def _map_specs(cls):
    """Return the fields of an attrs class by their name in a file."""
    return {_file_key(spec): spec for spec in attrs.fields(cls)}


def _build(kind, raw, path, faults):
    return _find_builder(kind)(raw, path, faults)


def suggest(found_value, known):
    """Return a hint that lists the allowed values, the closest match first.

    Parameters
    ----------
    found_value : object
        The value that was found.
    known : iterable of str
        The allowed values.
    """
    # Used for faults only, and slow to import.
    import difflib

    known = sorted(known)
    near = (
        difflib.get_close_matches(str(found_value), known, 1)
        if len(known) <= 200
        else []
    )
    hint = f"did you mean {near[0]!r}? " if near else ""
    return f"{hint}one of {shorten(known)}"


def shorten(names, limit=12):
    """Return names joined by commas, with a count of those left out.

    Parameters
    ----------
    names : sequence of str
        The names.
    limit : int
        Largest number of names to show.
    """
    shown = ", ".join(names[:limit]) or "(none is described)"
    rest = len(names) - limit
    return f"{shown} and {rest} more" if rest > 0 else shown


def _build_instance(cls, raw, path, faults, name=None):
    if not isinstance(raw, dict):
        found = "a hidden value" if getattr(cls, "HIDDEN", False) else raw
        faults.append(SettingError(path, found, "an object"))
        return None
    spec_by_key = _map_specs(cls)
    count = len(faults)
    if name is not None:
        if raw.get("name", name) != name:
            faults.append(SettingError(f"{path}.name", raw["name"], repr(name)))
        raw = {**raw, "name": name}
    values = {}
    for field_key in raw:
        if field_key not in spec_by_key:
            allowed = suggest(field_key, spec_by_key)
            faults.append(SettingError(f"{path}.{field_key}", field_key, allowed))
    for field_key, spec in spec_by_key.items():
        if field_key in raw:
            inner = f"{path}.{field_key}"
            values[spec.name] = _build(spec.type, raw[field_key], inner, faults)
            _check_range(spec, values[spec.name], inner, faults)
        elif spec.default is attrs.NOTHING:
            faults.append(SettingError(f"{path}.{field_key}", "nothing", "a value"))
    return None if len(faults) > count else cls(**values)


def _check_range(spec, value, path, faults):
    if "low" not in spec.metadata or value is None:
        return
    low, high = spec.metadata["low"], spec.metadata["high"]
    if not low <= value <= high:
        faults.append(SettingError(path, value, f"{low} to {high}"))


def _build_tuple(kind, raw, path, faults):
    if not isinstance(raw, list):
        faults.append(SettingError(path, raw, "a list"))
        return None
    build_item = _find_builder(kind)
    return tuple(
        build_item(item, f"{path}[{index}]", faults) for index, item in enumerate(raw)
    )


def _build_dict(kind, raw, path, faults):
    if not isinstance(raw, dict):
        faults.append(SettingError(path, raw, "an object"))
        return None
    build_item = _find_builder(kind)
    if attrs.has(kind) and "name" in _map_specs(kind):
        return {
            name: build_item(item, f"{path}.{name}", faults, name)
            for name, item in raw.items()
        }
    return {
        field_key: build_item(item, f"{path}.{field_key}", faults)
        for field_key, item in raw.items()
    }


def _build_optional(kind, raw, path, faults):
    return None if raw is None else _build(kind, raw, path, faults)


def _build_enum(kind, raw, path, faults):
    known = {item.value: item for item in kind}
    if not isinstance(raw, str) or raw not in known:
        faults.append(SettingError(path, raw, suggest(raw, known)))
        return None
    return known[raw]


def _build_scalar(kind, raw, path, faults):
    if kind is float and isinstance(raw, int) and not isinstance(raw, bool):
        return float(raw)
    if kind in TYPE_DESCRIPTIONS and type(raw) is not kind:
        faults.append(SettingError(path, raw, TYPE_DESCRIPTIONS[kind]))
        return None
    if kind is str and not _is_encodable(raw):
        faults.append(SettingError(path, raw, "text without lone surrogates"))
        return None
    return raw


def _is_encodable(text):
    """Return whether UTF-8 can encode a text, which is sent between nodes as such.

    A JSON text can hold lone surrogates, by escapes as well as by odd bytes.
    """
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
