"""Compression of transferred content against a version that the receiver already has."""

import zlib

import result

from tanagerfork import errors

COMPRESSION_LEVEL = 6
MAX_CONTENTS = 4


def pack(content: bytes, base: bytes) -> bytes:
    """Compress content.

    :param content: content.
    :param base: similar content that the receiver has; empty if there is none.
    """
    compressor = (
        zlib.compressobj(COMPRESSION_LEVEL, zdict=base)
        if base
        else zlib.compressobj(COMPRESSION_LEVEL)
    )
    return compressor.compress(content) + compressor.flush()


def unpack(
    packed: bytes, base: bytes, limit_bytes: int
) -> result.Result[bytes, errors.PeerMessageInvalid]:
    """Decompress content.

    :param packed: compressed content.
    :param base: content that it was compressed against; empty if there is none.
    :param limit_bytes: maximum size of the content.
    :return: the content, or why it was rejected.
    """
    decompressor = zlib.decompressobj(zdict=base) if base else zlib.decompressobj()
    try:
        content = decompressor.decompress(packed, limit_bytes)
    except zlib.error as error:
        message = f"content cannot be decompressed ({error}); try another daemon"
        return result.Err(errors.PeerMessageInvalid(message))
    if not decompressor.eof:
        message = f"content exceeds {limit_bytes} bytes or is truncated; try another daemon"
        return result.Err(errors.PeerMessageInvalid(message))
    return result.Ok(content)


class RecentContents:
    """The last few contents of a kind by hash, as bases for compression."""

    __slots__ = ("_contents",)

    def __init__(self) -> None:
        self._contents: dict[str, bytes] = {}

    @property
    def newest(self) -> str:
        """Name of the last content; empty if there is none."""
        return next(reversed(self._contents), "")

    def add(self, name: str, content: bytes) -> None:
        """Add content as the newest one, and drop the oldest past the limit.

        :param name: hash of the content.
        :param content: content.
        """
        if name == self.newest:
            return
        self._contents.pop(name, None)
        self._contents[name] = content
        while len(self._contents) > MAX_CONTENTS:
            del self._contents[next(iter(self._contents))]

    def find(self, name: str) -> bytes:
        """Return content; empty if it is not kept.

        :param name: hash of the content.
        """
        return self._contents.get(name, b"")
