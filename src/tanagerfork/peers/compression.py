"""Compression of what daemons fetch from each other, against what the receiver has already."""

import zlib

import result

from tanagerfork import errors

LEVEL = 6
KEPT = 4


def pack(content: bytes, base: bytes) -> bytes:
    """Compress content.

    :param content: content.
    :param base: similar content that the receiver has; empty for none.
    """
    compressor = zlib.compressobj(LEVEL, zdict=base) if base else zlib.compressobj(LEVEL)
    return compressor.compress(content) + compressor.flush()


def unpack(
    packed: bytes, base: bytes, limit_bytes: int
) -> result.Result[bytes, errors.PeerMessageInvalid]:
    """Decompress content.

    :param packed: compressed content.
    :param base: content that it was compressed against; empty for none.
    :param limit_bytes: largest content taken in.
    :return: the content, or why it is dropped.
    """
    decompressor = zlib.decompressobj(zdict=base) if base else zlib.decompressobj()
    try:
        content = decompressor.decompress(packed, limit_bytes)
    except zlib.error as error:
        message = f"compressed content is bad ({error}); ask another daemon"
        return result.Err(errors.PeerMessageInvalid(message))
    if not decompressor.eof:
        message = f"content exceeds {limit_bytes} bytes or was cut; ask another daemon"
        return result.Err(errors.PeerMessageInvalid(message))
    return result.Ok(content)


class RecentContents:
    """Keeps the last contents of a kind by name, to compress the next one against."""

    __slots__ = ("_contents",)

    def __init__(self) -> None:
        self._contents: dict[str, bytes] = {}

    @property
    def newest(self) -> str:
        """Name of the last content; empty for none."""
        return next(reversed(self._contents), "")

    def keep(self, name: str, content: bytes) -> None:
        """Keep a content as the newest one.

        :param name: its name.
        :param content: content.
        """
        if name == self.newest:
            return
        self._contents.pop(name, None)
        self._contents[name] = content
        while len(self._contents) > KEPT:
            del self._contents[next(iter(self._contents))]

    def find(self, name: str) -> bytes:
        """Return a content; empty where it is not kept.

        :param name: its name.
        """
        return self._contents.get(name, b"")
