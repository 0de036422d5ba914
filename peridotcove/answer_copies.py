"""Finds a second copy of an answer after one that ends with its connection.

A faulty server may send an answer twice. After an answer with a length or chunks the
bytes of the copy are surplus; after one without, they look like a part of its body. The
begin of a copy can't be told from the end of a body that has the same bytes, so that
only a copy that came as a whole is taken off.
"""

HTTP_PREFIX = b"HTTP/"


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
    status_line = head_lines[0]
    start = body.find(status_line)
    while start >= 0:
        copied_body = skip_head(body[start:], head_lines)
        if copied_body is not None:
            if body[:start] != copied_body:
                raise ValueError("the answer has the head of another one in its body")
            return start
        start = body.find(status_line, start + 1)
    if any(body.endswith(status_line[:end]) for end in range(1, len(status_line))):
        raise PartialHead("the answer may end with the begin of a second copy")
    return None


def skip_head(data, head_lines):
    """Return what follows a copy of a head, or None if other bytes begin the data.

    Parameters
    ----------
    data : bytes
        What may begin with the copy.
    head_lines : sequence of bytes
        Lines of the head, as of `find_copy`. The fields of a copy may have other
        values.

    Raises
    ------
    PartialHead
        If the data ends before the copy of the head does.
    """
    status_line, *field_lines = head_lines
    if not data.startswith(status_line):
        return _check_partial(data, status_line)
    data = data[len(status_line) :]
    for line in field_lines:
        name = line.partition(b":")[0] + b":"
        if not data.startswith(name):
            return _check_partial(data, name)
        _, newline, data = data.partition(b"\n")
        if not newline:
            raise PartialHead("the data ends inside of a header field")
    if not data.startswith(b"\r\n"):
        return _check_partial(data, b"\r\n")
    return data[2:]


def _check_partial(data, expected):
    """Raise a `PartialHead` if the data ends too soon to differ; else return None."""
    if expected.startswith(data):
        raise PartialHead("the data ends inside of a head")
