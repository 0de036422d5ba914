"""Ways in which the engine stand-in misbehaves, by name.

Each takes the handler of a chat and returns whether it has already answered.
"""

import asyncio

from peridotcove.registry import Registry

faults = Registry("engine fault")

GARBAGE = b"\x00\xff<<not an answer>>\x80" * 8
SLOW_S = 1.0
SECOND_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: 41\r\n\r\n"
    b'{"id":"chatcmpl-other","choices":[{}    ]}'[:41]
)


@faults.register("ok")
async def run_whole(handler):
    """Run the request as it should be.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    return False


@faults.register("garbage")
async def send_garbage(handler):
    """Answer 200 with a body that is no answer.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    handler.set_header("Content-Type", "text/event-stream")
    handler.write(GARBAGE)
    return True


@faults.register("garbage-raw")
async def send_garbage_head(handler):
    """Send bytes that are no HTTP.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    handler.break_connection(GARBAGE)
    return True


@faults.register("half")
async def cut_half(handler):
    """Break the connection in the middle of the answer.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    body = handler.read_json()
    if body.get("stream"):
        handler.cut = max(1, int(body.get("max_tokens", 32)) // 2)
        return False
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    raw = head + b'Content-Length: 500\r\n\r\n{"id": "chatcmpl-'
    handler.break_connection(raw)
    return True


@faults.register("two-answers")
async def answer_twice(handler):
    """Send a second answer after the first on the same connection.

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
            connection.write(SECOND_ANSWER)

    handler.on_finish = on_finish
    return False


@faults.register("nothing")
async def send_nothing(handler):
    """Close the connection without an answer.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    handler.break_connection()
    return True


@faults.register("silent")
async def stay_silent(handler):
    """Keep the connection open and never answer.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    handler.hold_connection()
    return True


@faults.register("error500")
async def fail(handler):
    """Answer 500.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    handler.write_json({"error": {"message": "internal", "code": "internal"}}, 500)
    return True


@faults.register("slow")
async def wait_long(handler):
    """Wait before the work begins.

    Parameters
    ----------
    handler : ChatHandler
        Handler of the chat.
    """
    await asyncio.sleep(SLOW_S)
    return False


MODES = tuple(faults.by_name)
