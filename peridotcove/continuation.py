"""Continuation tokens, which callers may send back with a chat's next turn.

A token names the engine of the last turn, so that a chat finds its cached prefix even
after all nodes were replaced. It is only a hint: if it is missing, expired, forged or
of another fleet, the owner's cache index and the ranking choose the engine.
"""

import base64
import binascii
import hashlib
import hmac
import struct

from attrs import frozen

MAX_TOKEN_CHARS = 256
MAX_ENGINE_BYTES = 128
MAC_BYTES = 16
TOKEN_LIFETIME_MS = 6 * 3_600_000
MAX_CLOCK_SKEW_MS = 60_000
FORMAT_VERSION = 1
HEADER = struct.Struct(">BQQH")
KEY_CONTEXT = b"peridotcove continuation"


@frozen
class Continuation:
    """Content of a token.

    Attributes
    ----------
    engine : str
        Engine of the chat's last turn.
    chat_key : int
        Key of the chat; the token is not valid for another chat.
    blocks : int
        Prefix blocks that were sent to the engine.
    at_ms : int
        Wall time in ms of the last turn.
    """

    engine: str
    chat_key: int
    blocks: int
    at_ms: int


class ContinuationCodec:
    """Encodes, signs and decodes tokens.

    Parameters
    ----------
    secret : bytes
        Secret that all nodes share.
    clock : Clock
        Source of wall time.
    """

    def __init__(self, secret, clock):
        self._key = hmac.digest(secret, KEY_CONTEXT, hashlib.sha256)
        self._clock = clock

    def encode(self, engine, chat_key, blocks):
        """Return a token, or "" if the engine's name is longer than `MAX_ENGINE_BYTES`.

        Parameters
        ----------
        engine : str
            Engine of this turn.
        chat_key : int
            Key of the chat, 64 bits.
        blocks : int
            Prefix blocks that were sent to the engine.
        """
        name = engine.encode()
        if len(name) > MAX_ENGINE_BYTES:
            return ""
        count = min(blocks, 0xFFFF)
        body = HEADER.pack(FORMAT_VERSION, self._clock.wall(), chat_key, count) + name
        return base64.urlsafe_b64encode(body + self._sign(body)).decode()

    def decode(self, token, chat_key):
        """Return the `Continuation` of a token, or None if the token is not valid.

        Parameters
        ----------
        token : str
            Text that the caller sent; it is not trusted.
        chat_key : int
            Key of the chat that the token was sent with.
        """
        body = self._verify(token)
        if body is None:
            return None
        _, at_ms, key, blocks = HEADER.unpack_from(body)
        age = self._clock.wall() - at_ms
        if key != chat_key or not -MAX_CLOCK_SKEW_MS <= age <= TOKEN_LIFETIME_MS:
            return None
        engine = body[HEADER.size :].decode("utf-8", "replace")
        return Continuation(engine, key, blocks, at_ms)

    def _verify(self, token):
        if not token or len(token) > MAX_TOKEN_CHARS:
            return None
        try:
            data = base64.b64decode(token.encode(), b"-_", validate=True)
        except (binascii.Error, ValueError):
            return None
        body, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if len(body) < HEADER.size or body[0] != FORMAT_VERSION:
            return None
        return body if hmac.compare_digest(mac, self._sign(body)) else None

    def _sign(self, body):
        return hmac.digest(self._key, body, hashlib.sha256)[:MAC_BYTES]
