"""Fault modes of the engine stand-in, by name.

Each function gets the handler of a chat and returns whether it has already responded.
"""

import asyncio

from peridotcove.registry import Registry

faults = Registry("engine fault")

GARBAGE = b"\x00\xff<<not an answer>>\x80" * 8
SLOW_S = 1.0
SECOND_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: 41\r\n\r\n"
    b'{"id":"chatcmpl-other","choices":[{}    ]}'[:41]
)


@faults.register("ok")
async def run_normally(handler):
    """Run the request without a fault.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    return False


@faults.register("garbage")
async def send_garbage(handler):
    """Respond with status 200 and a body that is not a valid answer.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    handler.set_header("Content-Type", "text/event-stream")
    handler.write(GARBAGE)
    return True


@faults.register("garbage-raw")
async def send_invalid_http(handler):
    """Send bytes that are not HTTP.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    handler.break_connection(GARBAGE)
    return True


@faults.register("half")
async def cut_midway(handler):
    """Break the connection in the middle of the response.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    body = handler.read_json()
    if body.get("stream"):
        handler.cut_after = max(1, int(body.get("max_tokens", 32)) // 2)
        return False
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    raw = head + b'Content-Length: 500\r\n\r\n{"id": "chatcmpl-'
    handler.break_connection(raw)
    return True


@faults.register("two-answers")
async def answer_twice(handler):
    """Send a second response after the first on the same connection.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    connection = handler.connection
    finish = handler.on_finish

    def on_finish():
        finish()
        if not connection.closed():
            connection.write(SECOND_RESPONSE)

    handler.on_finish = on_finish
    return False


@faults.register("nothing")
async def send_nothing(handler):
    """Close the connection without a response.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    handler.break_connection()
    return True


@faults.register("silent")
async def stay_silent(handler):
    """Keep the connection open and never respond.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    handler.hold_connection()
    return True


@faults.register("error500")
async def send_error(handler):
    """Respond with status 500.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    handler.write_json({"error": {"message": "internal", "code": "internal"}}, 500)
    return True


@faults.register("slow")
async def start_late(handler):
    """Wait `SLOW_S` before the request runs.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    await asyncio.sleep(SLOW_S)
    return False


MODES = tuple(faults.by_name)
