"""Transfer: heads, parts of bundles and layouts, fetched from a peer that has newer ones."""

from typing import Protocol

import msgspec
import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.bundles import manifest as manifests
from tanagerfork.bundles import register
from tanagerfork.generated import bundle as bundle_records
from tanagerfork.generated import layout as layout_records
from tanagerfork.generated import peers
from tanagerfork.groups import directory
from tanagerfork.peers import compression
from tanagerfork.timeline import kinds, ring

HEAD = "head"
PART = "part"
LAYOUT = "layout"
ASK_TIMEOUT_MS = 2000
CONTENT_LIMIT_BYTES = 4 * 1024 * 1024
PART_LIMIT_BYTES = 1024 * 1024
PIECE_BYTES = 64 * 1024
RETRY_INTERVAL_MS = 1000


class Asker(Protocol):
    """What the transfer needs to ask a peer."""

    async def ask(
        self, peer: str, kind: str, body: bytes, timeout_ms: int
    ) -> result.Result[bytes, errors.PeerError]:
        """Ask a daemon; see `Exchange.ask`."""


class _Attempts:
    """Says when a version may be fetched; one that was refused has to wait.

    :param clock: clock.
    """

    __slots__ = ("_clock", "_version", "_retry_at_ms", "is_busy")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._version = 0
        self._retry_at_ms = 0
        self.is_busy = False

    def may_fetch(self, version: int) -> bool:
        """Return whether to fetch a version now.

        :param version: version that a peer has.
        """
        is_due = version > self._version or self._clock.monotonic_ms() >= self._retry_at_ms
        return is_due and not self.is_busy

    def note(self, version: int) -> None:
        """Remember that a version was asked for.

        :param version: version that a peer has.
        """
        self._version = max(self._version, version)
        self._retry_at_ms = self._clock.monotonic_ms() + RETRY_INTERVAL_MS


class BundleTransfer:
    """Gives bundles to peers, and takes newer ones from them.

    :param bundles: register that checks and accepts the bundles.
    :param asker: asks peers.
    :param clock: clock.
    :param timeline: time line.
    :param metrics: counters.
    """

    __slots__ = (
        "_bundles",
        "_asker",
        "_timeline",
        "_metrics",
        "_attempts",
        "_manifests",
        "_encoder",
    )

    def __init__(
        self,
        bundles: register.BundleRegister,
        asker: Asker,
        clock: clocks.Clock,
        timeline: ring.Timeline,
        metrics: metric.Metrics,
    ) -> None:
        self._bundles = bundles
        self._asker = asker
        self._timeline = timeline
        self._metrics = metrics
        self._attempts = _Attempts(clock)
        self._manifests = compression.RecentContents()
        self._encoder = msgspec.msgpack.Encoder()
        bundles.subscribe(self._keep_manifest)

    def _keep_manifest(self, in_force: register.BundleInForce) -> None:
        head = in_force.head
        self._manifests.keep(head.manifest_sha256, head.signed.manifest_json.encode())

    async def give_head(self, peer: str, body: bytes) -> bytes:
        """Answer an ask for the head.

        :param peer: who asks.
        :param body: encoded ask.
        :return: encoded answer.
        """
        asked = msgspec.msgpack.decode(body, type=peers.ContentAsk)
        in_force = self._bundles.current
        if in_force is None:
            raise errors.NotFound("no bundle is in force; ask another daemon")
        return pack_answer(self._encoder.encode(in_force.head), asked.base, self._manifests)

    async def give_part(self, peer: str, body: bytes) -> bytes:
        """Answer an ask for a piece of a part.

        :param peer: who asks.
        :param body: encoded ask.
        :return: encoded answer.
        """
        asked = msgspec.msgpack.decode(body, type=peers.PartAsk)
        content = self._bundles.contents.get(asked.sha256)
        if content is None:
            raise errors.NotFound("the part is not held; ask another daemon")
        piece = content[asked.offset_bytes : asked.offset_bytes + PIECE_BYTES]
        answer = peers.PartAnswer(size_bytes=len(content), content=compression.pack(piece, b""))
        return self._encoder.encode(answer)

    def is_wanted(self, version: int) -> bool:
        """Return whether a version that a peer has should be fetched now.

        :param version: bundle version in force at the peer.
        """
        return version > self._bundles.version and self._attempts.may_fetch(version)

    async def fetch(self, peer: str, version: int) -> bool:
        """Fetch the bundle of a peer and put it in force.

        :param peer: daemon that has a newer bundle.
        :param version: its version.
        :return: whether a newer bundle came in force.
        """
        self._attempts.note(version)
        self._attempts.is_busy = True
        try:
            fetched = await self._fetch(peer)
        finally:
            self._attempts.is_busy = False
        if isinstance(fetched, result.Err):
            kind = fetched.err_value.kind
            self._metrics.count("peer_bundles_refused_total", kind=kind)
            return False
        head = fetched.ok_value.head
        detail = f"rolled by {head.rolled_by}; heard from {peer}"
        self._timeline.record(kinds.EventKind.BUNDLE_ACCEPTED, detail, bundle_version=head.version)
        return True

    async def _fetch(
        self, peer: str
    ) -> result.Result[register.BundleInForce, errors.TanagerforkError]:
        found = await self._fetch_head(peer)
        if isinstance(found, result.Err):
            return found
        head = found.ok_value
        checked = self._bundles.check_head(head)
        if isinstance(checked, result.Err):
            return checked
        contents: dict[str, bytes] = {}
        for sha256 in self._bundles.find_missing(checked.ok_value):
            part = await self._fetch_part(peer, sha256)
            if isinstance(part, result.Err):
                return part
            contents[sha256] = part.ok_value
        return self._bundles.accept(head, contents)

    async def _fetch_head(
        self, peer: str
    ) -> result.Result[bundle_records.Head, errors.TanagerforkError]:
        body = self._encoder.encode(peers.ContentAsk(base=self._manifests.newest))
        answered = await self._asker.ask(peer, HEAD, body, ASK_TIMEOUT_MS)
        if isinstance(answered, result.Err):
            return answered
        unpacked = unpack_answer(answered.ok_value, self._manifests)
        if isinstance(unpacked, result.Err):
            return unpacked
        try:
            head = msgspec.msgpack.decode(unpacked.ok_value, type=bundle_records.Head)
        except msgspec.MsgspecError as error:
            message = f"the head is bad ({error}); upgrade one of the two daemons"
            return result.Err(errors.PeerMessageInvalid(message))
        return result.Ok(head)

    async def _fetch_part(
        self, peer: str, sha256: str
    ) -> result.Result[bytes, errors.TanagerforkError]:
        content = b""
        while True:
            asked = peers.PartAsk(sha256=sha256, offset_bytes=len(content))
            body = self._encoder.encode(asked)
            answered = await self._asker.ask(peer, PART, body, ASK_TIMEOUT_MS)
            if isinstance(answered, result.Err):
                return answered
            try:
                answer = msgspec.msgpack.decode(answered.ok_value, type=peers.PartAnswer)
            except msgspec.MsgspecError as error:
                message = f"the part is bad ({error}); upgrade one of the two daemons"
                return result.Err(errors.PeerMessageInvalid(message))
            piece = compression.unpack(answer.content, b"", PIECE_BYTES)
            if isinstance(piece, result.Err):
                return piece
            content += piece.ok_value
            if len(content) >= answer.size_bytes or not piece.ok_value:
                break
            if len(content) > PART_LIMIT_BYTES:
                break
        if manifests.hash_content(content) != sha256:
            message = f"the part from {peer} does not fit its hash; ask another daemon"
            return result.Err(errors.PeerMessageInvalid(message))
        return result.Ok(content)


class LayoutTransfer:
    """Gives the layout to peers, and takes newer ones from them.

    :param groups: groups as this daemon knows them.
    :param asker: asks peers.
    :param clock: clock.
    :param metrics: counters.
    """

    __slots__ = ("_groups", "_asker", "_metrics", "_attempts", "_layouts", "_encoder")

    def __init__(
        self,
        groups: directory.GroupDirectory,
        asker: Asker,
        clock: clocks.Clock,
        metrics: metric.Metrics,
    ) -> None:
        self._groups = groups
        self._asker = asker
        self._metrics = metrics
        self._attempts = _Attempts(clock)
        self._layouts = compression.RecentContents()
        self._encoder = msgspec.msgpack.Encoder()

    @property
    def serial(self) -> int:
        """Serial of the layout in force; 0 for none."""
        return self._groups.layout.serial if self._groups.layout else 0

    async def give(self, peer: str, body: bytes) -> bytes:
        """Answer an ask for the layout.

        :param peer: who asks.
        :param body: encoded ask.
        :return: encoded answer.
        """
        asked = msgspec.msgpack.decode(body, type=peers.ContentAsk)
        current = self._groups.layout
        if current is None:
            raise errors.NotFound("no layout is known; ask another daemon")
        return pack_answer(self._keep_current(current), asked.base, self._layouts)

    def is_wanted(self, serial: int) -> bool:
        """Return whether a layout that a peer has should be fetched now.

        :param serial: its serial.
        """
        return serial > self.serial and self._attempts.may_fetch(serial)

    async def fetch(self, peer: str, serial: int) -> bool:
        """Fetch the layout of a peer and put it in force.

        :param peer: daemon of this failure domain that has a newer layout.
        :param serial: its serial.
        :return: whether a newer layout came in force.
        """
        self._attempts.note(serial)
        self._attempts.is_busy = True
        try:
            fetched = await self._fetch(peer)
        finally:
            self._attempts.is_busy = False
        if isinstance(fetched, result.Err):
            self._metrics.count("peer_layouts_refused_total", kind=fetched.err_value.kind)
            return False
        before = self.serial
        self._groups.take_layout(fetched.ok_value)
        return self.serial > before

    async def _fetch(
        self, peer: str
    ) -> result.Result[layout_records.Layout, errors.TanagerforkError]:
        if self._groups.layout is not None:
            self._keep_current(self._groups.layout)
        body = self._encoder.encode(peers.ContentAsk(base=self._layouts.newest))
        answered = await self._asker.ask(peer, LAYOUT, body, ASK_TIMEOUT_MS)
        if isinstance(answered, result.Err):
            return answered
        unpacked = unpack_answer(answered.ok_value, self._layouts)
        if isinstance(unpacked, result.Err):
            return unpacked
        try:
            return result.Ok(msgspec.msgpack.decode(unpacked.ok_value, type=layout_records.Layout))
        except msgspec.MsgspecError as error:
            message = f"the layout is bad ({error}); upgrade one of the two daemons"
            return result.Err(errors.PeerMessageInvalid(message))

    def _keep_current(self, current: layout_records.Layout) -> bytes:
        content = self._encoder.encode(current)
        self._layouts.keep(manifests.hash_content(content), content)
        return content


def pack_answer(content: bytes, base: str, known: compression.RecentContents) -> bytes:
    """Encode a content, compressed against what the asking daemon has.

    :param content: what was asked for.
    :param base: hash of what the asking daemon has.
    :param known: contents that this daemon had lately.
    :return: encoded answer.
    """
    found = known.find(base)
    packed = compression.pack(content, found)
    answer = peers.ContentAnswer(base=base if found else "", content=packed)
    return msgspec.msgpack.encode(answer)


def unpack_answer(
    body: bytes, contents: compression.RecentContents
) -> result.Result[bytes, errors.PeerMessageInvalid]:
    """Decode and decompress an answer.

    :param body: encoded answer.
    :param contents: contents that it may be compressed against.
    :return: the content, or why it is dropped.
    """
    try:
        answer = msgspec.msgpack.decode(body, type=peers.ContentAnswer)
    except msgspec.MsgspecError as error:
        message = f"the answer is bad ({error}); upgrade one of the two daemons"
        return result.Err(errors.PeerMessageInvalid(message))
    return compression.unpack(answer.content, contents.find(answer.base), CONTENT_LIMIT_BYTES)
