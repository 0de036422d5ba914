"""Finds a second copy of an answer after one that ends with its connection.

A faulty server may send an answer twice. After an answer with a length or chunks the
bytes of the copy are surplus; after one without, they look like a part of its body. The
begin of a copy can't be told from the end of a body that has the same bytes, so that
only a copy that came as a whole is taken off.
"""

import re

HTTP_PREFIX = b"HTTP/"
LINE_END = b"\r\n"


class PartialHead(ValueError):
    """Bytes end inside of what may be the head of a second copy."""


def find_copy(body, head_lines):
    """Return where a second copy of the answer begins, or None if there is none.

    Parameters
    ----------
    body : bytes
        What the server sent after the head, until the end of the connection.
    head_lines : sequence of bytes
        Lines of the answer's head, with their line endings: the status line, then the
        header fields.

    Returns
    -------
    int or None
        Offset of the copy in `body`.

    Raises
    ------
    ValueError
        If the body may end with the begin of a copy, or if an answer with another body
        follows it.
    """
    match = _compile_head(head_lines).search(body)
    if match is not None:
        start, end = match.span()
        if start + end != len(body) or not body.endswith(body[:start]):
            raise ValueError("the answer has the head of another one in its body")
        return start
    _check_end(body, head_lines)
    return None


def find_head_end(data, head_lines, start=0):
    """Return where a copy of a head ends, or None if other bytes stand in its place.

    Parameters
    ----------
    data : bytes
        What may have the copy.
    head_lines : sequence of bytes
        Lines of the head, as of `find_copy`. The fields of a copy may have other
        values.
    start : int
        Offset at which the copy would begin.

    Returns
    -------
    int or None
        Offset behind the empty line that ends the head.

    Raises
    ------
    PartialHead
        If the data ends before the copy of the head does.
    """
    status_line, *field_lines = head_lines
    if not _stands_at(data, status_line, start):
        return None
    end = start + len(status_line)
    for line in field_lines:
        if not _stands_at(data, _get_name(line), end):
            return None
        end = data.find(b"\n", end) + 1
        if not end:
            raise PartialHead("the data ends inside of a header field")
    return end + len(LINE_END) if _stands_at(data, LINE_END, end) else None


def _compile_head(head_lines):
    """Return the pattern of a copy of a head, which finds one in linear time.

    A faulty server can repeat what a head begins with many times.
    """
    status_line, *field_lines = head_lines
    fields = [re.escape(_get_name(line)) + rb"[^\n]*+\n" for line in field_lines]
    return re.compile(re.escape(status_line) + b"".join(fields) + LINE_END)


def _get_name(field_line):
    return field_line.partition(b":")[0] + b":"


def _check_end(body, head_lines):
    """Raise a `PartialHead` if the body may end with the begin of a copy."""
    status_line = head_lines[0]
    start = body.find(status_line, _find_last_lines(body, len(head_lines) + 1))
    while start >= 0:
        find_head_end(body, head_lines, start)
        start = body.find(status_line, start + 1)
    if any(body.endswith(status_line[:end]) for end in range(1, len(status_line))):
        raise PartialHead("the answer may end with the begin of a second copy")


def _find_last_lines(body, count):
    """Return the offset of the last lines, the unfinished one included."""
    start = len(body) + 1
    for _ in range(count):
        start = body.rfind(b"\n", 0, start - 1) + 1
        if not start:
            break
    return start


def _stands_at(data, expected, start):
    """Return whether expected bytes stand at an offset.

    Raises a `PartialHead` if the data ends too soon to tell.
    """
    if data.startswith(expected, start):
        return True
    if expected.startswith(data[start : start + len(expected)]):
        raise PartialHead("the data ends inside of a head")
    return False
