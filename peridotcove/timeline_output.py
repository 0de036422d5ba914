"""Output formats of a merged timeline: text lines and the Chrome trace format."""

from peridotcove.timeline import event_kinds

US_PER_MS = 1000
SPAN_END_BY_START = {"request-arrived": "request-ended", "drain-started": "drain-ended"}


def format_lines(entries):
    """Yield a text line for each entry, with the time in ms since the first entry.

    Parameters
    ----------
    entries : sequence of TimelineEntry
        A merged timeline.
    """
    if not entries:
        return
    start_ms = entries[0].at_ms
    width = max(len(entry.node) for entry in entries)
    for entry in entries:
        event = entry.event
        kind = event_kinds.by_name.get(event.kind)
        columns = [kind.text if kind is not None else event.kind]
        columns += [f"[{subject}]" for subject in _subjects(event)]
        if event.peer:
            columns.append(f"peer {event.peer}")
        if event.detail:
            columns.append(f"({event.detail})")
        if entry.cause is not None:
            wait = entry.at_ms - entry.cause.at_ms
            cause = f"{entry.cause.node}#{entry.cause.event.sequence}"
            columns.append(f"<- {cause} +{wait:.1f} ms")
        elapsed = f"{entry.at_ms - start_ms:10.1f}"
        number = f"#{event.sequence:<6}"
        yield " ".join([elapsed, f" {entry.node:{width}}", f" {number}", *columns])


def _subjects(event):
    if event.request_id:
        yield event.request_id.hex()
    if event.revision:
        yield f"revision {event.revision}"


def make_chrome_trace(entries):
    """Return a timeline as a JSON value in the Chrome trace format.

    Nodes are shown as processes, requests and drains as spans, and causes as arrows.

    Parameters
    ----------
    entries : sequence of TimelineEntry
        A merged timeline.
    """
    pid_by_node = {}
    for entry in entries:
        pid_by_node.setdefault(entry.node, len(pid_by_node) + 1)
    rows = [
        {"ph": "M", "name": "process_name", "pid": pid, "args": {"name": node}}
        for node, pid in pid_by_node.items()
    ]
    start_by_span = {}
    for number, entry in enumerate(entries):
        position = _trace_position(entry, pid_by_node)
        rows.append(
            {"ph": "i", "s": "t", "name": entry.event.kind, **position, **_args(entry)}
        )
        rows.extend(_span(entry, position, start_by_span))
        if entry.cause is not None:
            rows.extend(_arrow(entry, number, pid_by_node))
    return {"traceEvents": rows, "displayTimeUnit": "ms"}


def _trace_position(entry, pid_by_node):
    return {
        "ts": round(entry.at_ms * US_PER_MS),
        "pid": pid_by_node[entry.node],
        "tid": 1,
    }


def _args(entry):
    event = entry.event
    subjects = " ".join(_subjects(event))
    args = {"subject": subjects, "peer": event.peer, "detail": event.detail}
    return {"args": args}


def _span(entry, position, start_by_span):
    event = entry.event
    for start_kind, end_kind in SPAN_END_BY_START.items():
        key = (entry.node, event.request_id, start_kind)
        if event.kind == start_kind:
            start_by_span[key] = position["ts"]
        elif event.kind == end_kind and key in start_by_span:
            start = start_by_span.pop(key)
            name = event.request_id.hex() or start_kind
            span = {"ph": "X", "name": name, "ts": start, "dur": position["ts"] - start}
            yield {**position, **span}


def _arrow(entry, number, pid_by_node):
    common = {"name": "message", "cat": "message", "id": number}
    yield {"ph": "s", **common, **_trace_position(entry.cause, pid_by_node)}
    yield {"ph": "f", "bp": "e", **common, **_trace_position(entry, pid_by_node)}
