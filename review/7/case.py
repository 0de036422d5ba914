"""An answer without a length loses its end and is passed on as a whole one."""

import asyncio
import sys
import time
from pathlib import Path

from rig_2.clients import send
from rig_2.nodes import HOST, ZONE, make_route, make_service, run_case
from rig_2.servers import PlainServer, make_headers

NODES = 2
CLIENTS = 10
SETTLE_S = 2.0
# The dose of the kind "garble" with how "unframed": half of the servers, 0.05 of their
# answers, for 5 s.
UNFRAMED_S = 5.0
ANSWERS_PER_UNFRAMED = 20
TEXTS = (
    b"Stand 12 is booked. Details: GET /stands/12 HTTP/1.1",
    b"Stand 13 is free. Further requests need HTTP/1.1",
    b"Our interface speaks HTTP/",
    b"The gilded stand is booked for Saturday.",
)


def make_answer(record, is_faulty):
    """Return a coroutine function that writes a server's answers.

    Parameters
    ----------
    record : Record
        Takes which answers have no length.
    is_faulty : bool
        Whether some answers have no length and end with their connection.
    """
    count = 0

    async def write_answer(server, request, writer):
        nonlocal count
        count += 1
        unframed = is_faulty and not count % ANSWERS_PER_UNFRAMED
        text = TEXTS[int(request.target.rpartition("/")[2])]
        fields = make_headers(server, request)
        if unframed:
            fields["Connection"] = "close"
            record.write(f"{server.name} sends no length to {request.target}")
        else:
            fields["Content-Length"] = str(len(text))
        lines = [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines]) + "\r\n\r\n"
        writer.write(head.encode() + text)
        await writer.drain()
        if unframed:
            writer.close()

    return write_answer


async def run_client(rig, node, number, answers, end_s):
    """Send one request after the other.

    Parameters
    ----------
    rig : Rig
        Takes the record.
    node : NodeProcess
        The node.
    number : int
        Number of the client.
    answers : list of tuple
        Gets the text that the server sent and the client's, for each success.
    end_s : float
        Monotonic time of the end.
    """
    while time.monotonic() < end_s:
        number += 1
        text = TEXTS[number % len(TEXTS)]
        outcome = await send(node.address, HOST, f"/book/{number % len(TEXTS)}")
        response = outcome.response
        body = b"" if response is None else response.body
        rig.record.write(
            f"{outcome.request_id} at {node.label}: {outcome.text}; "
            f"the server sent {text!r}, the client got {body!r}"
        )
        if response is not None and response.complete and response.status == 200:
            answers.append((text, body))
        await asyncio.sleep(0.02)


async def case(rig, trouble):
    """Return whether the rule held.

    Parameters
    ----------
    rig : Rig
        Store and nodes.
    trouble : bool
        Whether some answers of one server have no length.
    """
    route = make_route("r-booking", "/book/", "booking-app", "non_idempotent", 1_500, 1)
    rig.put_configuration(3, [route], [make_service("booking-app")])
    servers = [
        PlainServer(
            rig.store,
            rig.host(100 + number),
            f"i-{number}",
            "booking-app",
            ZONE,
            rig.record,
        )
        for number in range(2)
    ]
    for number, server in enumerate(servers):
        server.write_answer = make_answer(rig.record, trouble and not number)
        await server.start()
    await rig.start_nodes()
    await asyncio.sleep(SETTLE_S)
    answers = []
    end_s = time.monotonic() + UNFRAMED_S
    await asyncio.gather(
        *(
            run_client(rig, rig.nodes[number % NODES], number, answers, end_s)
            for number in range(CLIENTS)
        )
    )
    if not answers:
        raise RuntimeError("no request was answered")
    wrong = sum(sent != got for sent, got in answers)
    rig.record.write(
        f"{wrong} of {len(answers)} successes lack a part of the server's answer"
    )
    return not wrong


sys.exit(run_case(case, Path(__file__).resolve().parent, NODES))
