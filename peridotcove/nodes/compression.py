"""Compresses large frames, such as revisions with many routes, for thin links."""

import zlib

from attrs import frozen

from peridotcove.exceptions import ProtocolError
from peridotcove.nodes.messages import MAX_FRAME_BYTES, decode, encode, message

# Smaller frames gain less than compressing them costs.
MIN_COMPRESSED_BYTES = 16_384
# The fastest level; entries of a configuration are alike enough for it.
LEVEL = 1


@message(42, since=2)
@frozen
class CompressedFrame:
    """Contains another frame, to nodes that accept such ones.

    Attributes
    ----------
    data : bytes
        The frame, compressed by zlib.
    """

    data: bytes


def compress_frame(frame, revision):
    """Return a frame with the same message that is smaller if it is a large one.

    Parameters
    ----------
    frame : bytes
        The frame.
    revision : int
        Configuration revision of the sender.
    """
    if len(frame) < MIN_COMPRESSED_BYTES:
        return frame
    return encode(CompressedFrame(zlib.compress(frame, LEVEL)), revision)


def decode_frame(frame):
    """Return the message of a frame, compressed or not, and the sender's revision.

    Parameters
    ----------
    frame : bytes
        Frame to decode.

    Raises
    ------
    ProtocolError
        If the frame is not a valid message, or too large when it is decompressed.
    """
    item, revision = decode(frame)
    if not isinstance(item, CompressedFrame):
        return item, revision
    decompressor = zlib.decompressobj()
    try:
        inner = decompressor.decompress(item.data, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise ProtocolError(f"a frame can't be decompressed: {error}") from None
    if not decompressor.eof:
        raise ProtocolError("a compressed frame is cut, or over the size limit")
    item, revision = decode(inner)
    if isinstance(item, CompressedFrame):
        raise ProtocolError("a frame is compressed twice")
    return item, revision
