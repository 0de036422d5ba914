"""Finds a second copy of an answer after one that ends with its connection.

A faulty server may send an answer twice. After an answer with a length or chunks the
bytes of the copy are surplus; after one without, they look like a part of its body.
"""

HTTP_PREFIX = b"HTTP/"


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
        If the end of the body may be the begin of a copy or not, or if there is a copy
        whose body differs.
    """
    status_line = head_lines[0]
    start = body.find(status_line)
    while start >= 0:
        rest = body[start + len(status_line) :]
        copied_body = _skip_head(rest, head_lines[1:])
        if copied_body is not None:
            if not body[:start].startswith(copied_body):
                raise ValueError("two answers of different content came as one")
            return start
        start = body.find(status_line, start + 1)
    for length in range(min(len(status_line) - 1, len(body)), 0, -1):
        if body.endswith(status_line[:length]):
            if length < len(HTTP_PREFIX):
                raise ValueError("the answer may end with the begin of a second copy")
            return len(body) - length
    return None


def _skip_head(data, field_lines):
    """Return what follows a head with the given fields, or None if it is no such head.

    The fields may have other values. The head may be cut at any byte.
    """
    for line in field_lines:
        name = line.partition(b":")[0] + b":"
        if not data.startswith(name):
            return b"" if name.startswith(data) else None
        _, newline, data = data.partition(b"\n")
        if not newline:
            return b""
    if data.startswith(b"\r\n"):
        return data[2:]
    return b"" if data in (b"", b"\r") else None
