"""Finds duplicate keys in the objects of a file of JSON with comments.

Decoders silently keep the last of two equal keys, but an engine that is described twice
is a fault that has to be reported.
"""

import re

import pyjson5

from peridotcove.exceptions import SettingError

TOKEN = re.compile(
    r"""//[^\n]*|/\*.*?\*/|(?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')"""
    r"""|(?P<mark>[{}\[\]:,])|(?P<word>[^\s{}\[\]:,"'/]+)""",
    re.DOTALL,
)


def find_duplicate_keys(text, path):
    """Yield a `SettingError` for each duplicate key of an object.

    Parameters
    ----------
    text : str
        Valid JSON with comments.
    path : str
        Name of the file, for error messages.
    """
    scopes = []
    last = None
    for match in TOKEN.finditer(text):
        mark = match["mark"]
        if mark is None:
            last = match["string"] or match["word"] or last
        elif mark in "{[":
            scopes.append(_Scope(mark == "{"))
        elif mark in "}]":
            scopes.pop()
        elif mark == ":":
            name = _decode(last)
            if scopes[-1].add_name(name):
                location = ".".join([path, *(scope.name for scope in scopes)])
                yield SettingError(location, name, "each name once")
        elif not scopes[-1].is_object:
            scopes[-1].name = str(int(scopes[-1].name) + 1)


def _decode(token):
    return pyjson5.decode(token) if token[0] in "\"'" else token


class _Scope:
    """An object or list that is being scanned, and the key or index of its member."""

    def __init__(self, is_object):
        self.is_object = is_object
        self.name = "0"
        self._names = set()

    def add_name(self, name):
        self.name = name
        seen = name in self._names
        self._names.add(name)
        return seen
