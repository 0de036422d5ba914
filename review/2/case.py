"""Servers break off some answers inside the header."""

import asyncio

import harness

KEYS = {"bakery": ["key-of-bakery"]}
BODY_BYTES = 800
WORK_S = 0.03
REQUESTS = 1_000
PARALLEL = 6
# Of the servers, every second one breaks off every 50th answer.
FAULTY_SHARE = 0.5
CUT_SHARE = 0.02


def make_body(request_id):
    """Return the whole body with which a server answers a request."""
    return request_id.encode().ljust(BODY_BYTES, b".")


def make_answer(cut_share):
    """Return the answer of a server that breaks off a share of its answers."""
    every = round(1 / cut_share) if cut_share else 0
    count = 0

    async def answer(server, headers, body, writer):
        nonlocal count
        await asyncio.sleep(WORK_S)
        count += 1
        data = make_body(headers["x-request-id"])
        fields = {"Content_Type": "text/plain", "Content_Length": len(data)}
        head = harness.make_signed_head(server, headers, 200, **fields)
        lines = head.splitlines(keepends=True)
        if every and count % every == 0:
            # Breaks off between two lines of the header, each time after another one.
            kept = 1 + count // every % (len(lines) - 1)
            writer.write(b"".join(lines[:kept]))
        else:
            writer.write(head + data)

    return answer


async def play(fleet, trouble):
    """Return whether no answer that was broken off reached a client as complete."""
    record = fleet.record
    for number in range(4):
        faulty = trouble and number < 4 * FAULTY_SHARE
        answer = make_answer(CUT_SHARE if faulty else 0)
        await fleet.add_server(f"i-{number + 1}", "booking-app", answer)
    routes = [
        harness.make_route("look", "idempotent", "booking-app"),
        harness.make_route("book", "non_idempotent", "booking-app"),
    ]
    document = harness.make_document(7, routes, ["booking-app"], KEYS)
    fleet.publish(document, "two routes to booking-app")
    await fleet.start_nodes(3)
    await asyncio.sleep(1)
    numbers = iter(range(REQUESTS))
    outcomes = {"whole": 0, "wrong": 0, "failed": 0}

    async def send():
        for number in numbers:
            node = fleet.nodes[number % 3]
            is_booking = number % 2
            request_id, response = await fleet.request(
                node,
                "/book/x" if is_booking else "/look/x",
                "key-of-bakery",
                "POST" if is_booking else "GET",
                b"order" if is_booking else b"",
                deadline_ms=1_500,
            )
            if response.status != 200 or not response.complete:
                outcomes["failed"] += 1
            elif response.body == make_body(request_id):
                outcomes["whole"] += 1
            else:
                outcomes["wrong"] += 1
                record.write(f"{request_id} has a success without the server's body")

    await asyncio.gather(*[send() for _ in range(PARALLEL)])
    record.write(str(outcomes))
    return not outcomes["wrong"]


harness.run_case(__file__, play)
