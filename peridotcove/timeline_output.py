"""Forms of a merged time line: lines for a terminal, and the Chrome trace format."""

from peridotcove.timeline import event_kinds

US_PER_MS = 1000
SPANS = {"request-arrived": "request-ended", "drain-started": "drain-ended"}


def format_lines(entries):
    """Yield a line for each entry, with times in ms from the first.

    Parameters
    ----------
    entries : sequence of Entry
        A merged time line.
    """
    if not entries:
        return
    start_ms = entries[0].at_ms
    width = max(len(entry.node) for entry in entries)
    for entry in entries:
        event = entry.event
        kind = event_kinds.by_name.get(event.kind)
        words = [kind.text if kind is not None else event.kind]
        words += [f"[{word}]" for word in _subjects(event)]
        if event.peer:
            words.append(f"peer {event.peer}")
        if event.detail:
            words.append(f"({event.detail})")
        if entry.cause is not None:
            wait = entry.at_ms - entry.cause.at_ms
            cause = f"{entry.cause.node}#{entry.cause.event.sequence}"
            words.append(f"<- {cause} +{wait:.1f} ms")
        at = f"{entry.at_ms - start_ms:10.1f}"
        number = f"#{event.sequence:<6}"
        yield " ".join([at, f" {entry.node:{width}}", f" {number}", *words])


def _subjects(event):
    if event.request_id:
        yield event.request_id.hex()
    if event.revision:
        yield f"revision {event.revision}"


def make_chrome_trace(entries):
    """Return the JSON value that viewers of the Chrome trace format open.

    Nodes are shown as processes; requests and drains as spans; causes as arrows.

    Parameters
    ----------
    entries : sequence of Entry
        A merged time line.
    """
    pid_by_node = {}
    for entry in entries:
        pid_by_node.setdefault(entry.node, len(pid_by_node) + 1)
    rows = [
        {"ph": "M", "name": "process_name", "pid": pid, "args": {"name": node}}
        for node, pid in pid_by_node.items()
    ]
    open_spans = {}
    for number, entry in enumerate(entries):
        place = _place(entry, pid_by_node)
        rows.append(
            {"ph": "i", "s": "t", "name": entry.event.kind, **place, **_args(entry)}
        )
        rows.extend(_span(entry, place, open_spans))
        if entry.cause is not None:
            rows.extend(_arrow(entry, number, pid_by_node))
    return {"traceEvents": rows, "displayTimeUnit": "ms"}


def _place(entry, pid_by_node):
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


def _span(entry, place, open_spans):
    event = entry.event
    for first, last in SPANS.items():
        key = (entry.node, event.request_id, first)
        if event.kind == first:
            open_spans[key] = place["ts"]
        elif event.kind == last and key in open_spans:
            start = open_spans.pop(key)
            name = event.request_id.hex() or first
            span = {"ph": "X", "name": name, "ts": start, "dur": place["ts"] - start}
            yield {**place, **span}


def _arrow(entry, number, pid_by_node):
    common = {"name": "message", "cat": "message", "id": number}
    yield {"ph": "s", **common, **_place(entry.cause, pid_by_node)}
    yield {"ph": "f", "bp": "e", **common, **_place(entry, pid_by_node)}
