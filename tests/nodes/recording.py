"""Records the messages of the code in the current folder, as JSON.

Run it in a checkout of the commit to record, with that commit's package:
``python /PATH/tests/nodes/recording.py COMMIT PROTOCOL``. Its output is one entry of
``recorded_messages.json``. Nothing here may depend on later code than that commit's.
"""

import importlib
import json
import pkgutil
import sys

import attrs

REVISION = 1_234_567


def make_value(kind, index):
    """Return a value of a type that no other field of the message has.

    Parameters
    ----------
    kind : type
        Type of the field.
    index : int
        Position of the field.
    """
    if kind is bool:
        return True
    if kind is int:
        return 1_000 + index
    if kind is str:
        return f"text {index}"
    if kind is bytes:
        return bytes([index]) * 8
    if kind is list:
        return [[f"name {index}", index, b"data"]]
    return {f"name {index}": index}


def load_messages():
    """Return the registered classes of messages by code."""
    import peridotcove.nodes

    for module in pkgutil.iter_modules(peridotcove.nodes.__path__):
        importlib.import_module(f"peridotcove.nodes.{module.name}")
    return importlib.import_module("peridotcove.nodes.messages").messages.by_name


def read_default(spec):
    """Return the default of a field, as it is recorded."""
    if isinstance(spec.default, attrs.Factory):
        return spec.default.factory()
    value = spec.default
    return value.hex() if isinstance(value, bytes) else value


def describe_field(spec):
    """Return name and type of a field, and its default if it has one."""
    described = [spec.name, spec.type.__name__]
    if spec.default is not attrs.NOTHING:
        described.append(read_default(spec))
    return described


def record_message(cls, code, encode):
    """Return the description of a message, with the frame of one example.

    Parameters
    ----------
    cls : type
        Class of the message.
    code : int
        Its code.
    encode : callable
        Returns the frame of a message and a revision.
    """
    specs = attrs.fields(cls)
    item = cls(*[make_value(spec.type, index) for index, spec in enumerate(specs)])
    return {
        "code": code,
        "name": cls.__name__,
        "fields": [describe_field(spec) for spec in specs],
        "frame": encode(item, REVISION).hex(),
    }


def main(commit, protocol):
    """Print the entry of a commit."""
    by_code = load_messages()
    encode = importlib.import_module("peridotcove.nodes.messages").encode
    lines = [
        json.dumps(record_message(cls, code, encode))
        for code, cls in sorted(by_code.items())
    ]
    listed = ",\n".join(lines)
    print(f'{{"commit": "{commit}", "protocol": {protocol}, "messages": [\n{listed}]}}')


if __name__ == "__main__":
    sys.path.insert(0, "")
    main(sys.argv[1], int(sys.argv[2]))
