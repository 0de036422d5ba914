"""Messages of older builds are read, and older builds read those of this one.

``recorded_messages.json`` holds what builds of earlier commits sent, each with the
protocol that this one takes it for. A field that gets another position, name, type or
default fails here, as long as `OLDEST_PROTOCOL` admits peers of that protocol. Fields
may be added at the end of a message, with a default.
"""

import copy
import json
import pathlib
import unittest

import attrs
import cbor2

from peridotcove.nodes.messages import (
    HEADER_FIELD_COUNT,
    OLDEST_PROTOCOL,
    PROTOCOL,
    VERSION,
    QueueLease,
    decode,
    encode,
    message,
    messages,
)
from peridotcove.nodes.peer_builds import UNCERTAIN_KINDS
from tests.nodes.recording import (
    REVISION,
    describe_field,
    load_messages,
    make_value,
    record_message,
)

RECORDS = json.loads(
    pathlib.Path(__file__).with_name("recorded_messages.json").read_text()
)
TYPE_BY_NAME = {kind.__name__: kind for kind in (bool, bytes, dict, int, list, str)}
NEW_CODE = 9_999


def find_faults(recorded, cls):
    """Return what keeps an older build from exchanging a message with this one.

    Parameters
    ----------
    recorded : dict
        The message as the older build has it.
    cls : type or None
        The message as this build has it.
    """
    if cls is None or cls.__name__ != recorded["name"]:
        return [f"code {recorded['code']} is no {recorded['name']} any more"]
    current = [describe_field(spec) for spec in attrs.fields(cls)]
    count = len(recorded["fields"])
    pairs = zip(recorded["fields"], [*current, *[None] * count], strict=False)
    faults = [f"{old} became {new}" for old, new in pairs if old != new]
    faults += [f"{new} has no default" for new in current[count:] if len(new) < 3]
    return faults


def read_as_recorded(recorded, frame):
    """Return the values by field that the older build reads from a frame.

    Parameters
    ----------
    recorded : dict
        The message as the older build has it.
    frame : bytes
        Frame of this build.
    """
    version, code, revision, *values = cbor2.loads(frame)
    if (version, code, revision) != (VERSION, recorded["code"], REVISION):
        raise ValueError("the header is another one")
    if len(values) < sum(len(one) < 3 for one in recorded["fields"]):
        raise ValueError("fields are missing")
    value_by_name = {}
    for (name, kind, *_), value in zip(recorded["fields"], values, strict=False):
        if type(value) is not TYPE_BY_NAME[kind]:
            raise ValueError(f"{name} has another type")
        value_by_name[name] = value
    for name, kind, default in recorded["fields"][len(values) :]:
        value_by_name[name] = bytes.fromhex(default) if kind == "bytes" else default
    return value_by_name


def list_messages():
    """Yield each recorded message of a protocol that this build works with."""
    for record in RECORDS:
        if record["protocol"] >= OLDEST_PROTOCOL:
            for recorded in record["messages"]:
                yield record["commit"][:7], record["protocol"], recorded


class RecordedMessagesTest(unittest.TestCase):
    """Builds of one protocol and the next read each other's messages."""

    @classmethod
    def setUpClass(cls):
        cls.cls_by_code = load_messages()

    def test_messages_keep_their_fields(self):
        for commit, _, recorded in list_messages():
            with self.subTest(commit=commit, message=recorded["name"]):
                cls = self.cls_by_code.get(recorded["code"])
                self.assertEqual(find_faults(recorded, cls), [])

    def test_frames_of_older_builds_are_read(self):
        for commit, _, recorded in list_messages():
            with self.subTest(commit=commit, message=recorded["name"]):
                item, revision = decode(bytes.fromhex(recorded["frame"]))
                self.assertEqual(revision, REVISION)
                expected = [
                    make_value(TYPE_BY_NAME[kind], index)
                    for index, (_, kind, *_) in enumerate(recorded["fields"])
                ]
                names = [name for name, *_ in recorded["fields"]]
                values = [getattr(item, name) for name in names]
                self.assertEqual(values, expected)
                added = [describe_field(one) for one in attrs.fields(type(item))]
                for name, _, default in added[len(names) :]:
                    value = getattr(item, name)
                    if isinstance(value, bytes):
                        value = value.hex()
                    self.assertEqual(value, default)

    def test_frames_of_this_build_are_read_by_older_ones(self):
        for commit, _, recorded in list_messages():
            with self.subTest(commit=commit, message=recorded["name"]):
                cls = self.cls_by_code[recorded["code"]]
                new = record_message(cls, recorded["code"], encode)
                read = read_as_recorded(recorded, bytes.fromhex(new["frame"]))
                names = [name for name, *_ in recorded["fields"]]
                self.assertEqual(list(read), names)
                item, _ = decode(bytes.fromhex(new["frame"]))
                self.assertEqual(read, {name: getattr(item, name) for name in names})

    def test_frames_with_defaults_are_read_by_older_builds(self):
        """Whether or not a sender leaves out fields that have their default."""
        for commit, _, recorded in list_messages():
            with self.subTest(commit=commit, message=recorded["name"]):
                cls = self.cls_by_code[recorded["code"]]
                specs = attrs.fields(cls)[: cls.REQUIRED_FIELD_COUNT]
                item = cls(*[make_value(one.type, 0) for one in specs])
                read = read_as_recorded(recorded, encode(item, REVISION))
                self.assertEqual(read, {name: getattr(item, name) for name in read})
                self.assertEqual(len(read), len(recorded["fields"]))

    def test_messages_that_older_builds_lack_need_a_later_protocol(self):
        """Builds that say no protocol close a link at a message that they don't know.

        Where two of them have the same protocol, the older one lacks messages of the
        newer; `PeerBuild` then finds out which.
        """
        last_by_protocol = {record["protocol"]: record for record in RECORDS}
        for protocol, record in last_by_protocol.items():
            known = {recorded["code"] for recorded in record["messages"]}
            for code, cls in self.cls_by_code.items():
                with self.subTest(protocol=protocol, message=cls.__name__):
                    self.assertEqual(protocol >= cls.SINCE, code in known)
                    self.assertLessEqual(cls.SINCE, PROTOCOL)

    def test_messages_that_only_some_builds_of_a_protocol_know(self):
        codes_by_protocol = {}
        for record in RECORDS:
            codes = {recorded["code"] for recorded in record["messages"]}
            codes_by_protocol.setdefault(record["protocol"], []).append(codes)
        uncertain = {
            code
            for groups in codes_by_protocol.values()
            for code in set.union(*groups) - set.intersection(*groups)
        }
        self.assertEqual(uncertain, {kind.CODE for kind in UNCERTAIN_KINDS})

    def test_changes_are_found(self):
        """Only an added field with a default is no fault."""

        @attrs.frozen
        class Example:
            one: str
            two: int = 5
            three: list = attrs.field(factory=list)

        recorded = {"code": NEW_CODE, "name": "Example"}
        recorded["fields"] = [describe_field(one) for one in attrs.fields(Example)]
        self.assertEqual(find_faults(recorded, Example), [])
        shorter = copy.deepcopy(recorded)
        shorter["fields"].pop()
        self.assertEqual(find_faults(shorter, Example), [])
        shorter["fields"].pop()
        shorter["fields"].pop()
        self.assertEqual(len(find_faults(shorter, Example)), 1)
        changes = {
            "position": lambda fields: fields.reverse(),
            "name": lambda fields: fields[1].__setitem__(0, "other"),
            "type": lambda fields: fields[1].__setitem__(1, "str"),
            "default": lambda fields: fields[1].__setitem__(2, 6),
            "default added": lambda fields: fields[0].append(""),
            "default removed": lambda fields: fields[1].pop(),
            "removed": lambda fields: fields.append(["four", "int", 0]),
        }
        for name, change in changes.items():
            with self.subTest(change=name):
                changed = copy.deepcopy(recorded)
                change(changed["fields"])
                self.assertNotEqual(find_faults(changed, Example), [])
        self.assertNotEqual(find_faults(recorded, QueueLease), [])
        self.assertNotEqual(find_faults(recorded, None), [])

    def test_changed_frames_are_not_read_as_recorded(self):
        recorded = {"code": NEW_CODE, "fields": [["one", "str"], ["two", "int", 5]]}
        cls = message(NEW_CODE)(
            attrs.make_class("Example", {"one": attrs.field(type=str)})
        )
        self.addCleanup(messages.by_name.pop, NEW_CODE)
        self.assertEqual(
            read_as_recorded(recorded, encode(cls("x"), REVISION)),
            {"one": "x", "two": 5},
        )
        for values in ([], [1], ["x", "y"]):
            frame = cbor2.dumps([VERSION, NEW_CODE, REVISION, *values])
            self.assertGreaterEqual(len(cbor2.loads(frame)), HEADER_FIELD_COUNT)
            with self.assertRaises(ValueError):
                read_as_recorded(recorded, frame)
