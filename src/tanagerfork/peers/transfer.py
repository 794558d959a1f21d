"""Transfer: fetches bundle heads, bundle parts and layouts from peers that have newer ones."""

from typing import Protocol

import msgspec
import result

from tanagerfork import clock as clocks
from tanagerfork import decoding, errors
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
REQUEST_TIMEOUT_MS = 2000
CONTENT_LIMIT_BYTES = 4 * 1024 * 1024
PART_LIMIT_BYTES = 1024 * 1024
PIECE_BYTES = 64 * 1024
RETRY_INTERVAL_MS = 1000  # Before the same or an older version is fetched again.


class Requester(Protocol):
    """Sends requests to peers."""

    async def ask(
        self, peer: str, kind: str, body: bytes, timeout_ms: int
    ) -> result.Result[bytes, errors.PeerError]:
        """Send a request to a daemon; see `Exchange.ask`."""


class _FetchThrottle:
    """Limits fetches to one at a time and delays a retry of the same version.

    :param clock: clock.
    """

    __slots__ = ("_clock", "_version", "_retry_at_ms", "is_busy")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._version = 0
        self._retry_at_ms = 0
        self.is_busy = False

    def may_fetch(self, version: int) -> bool:
        """Return whether a version may be fetched now.

        :param version: version that a peer has.
        """
        is_due = version > self._version or self._clock.monotonic_ms() >= self._retry_at_ms
        return is_due and not self.is_busy

    def record_attempt(self, version: int) -> None:
        """Record that a fetch of a version was started.

        :param version: version that a peer has.
        """
        self._version = max(self._version, version)
        self._retry_at_ms = self._clock.monotonic_ms() + RETRY_INTERVAL_MS


class BundleTransfer:
    """Serves bundles to peers, and fetches newer ones from them.

    :param bundles: register that validates and accepts bundles.
    :param requester: sends requests to peers.
    :param clock: clock.
    :param timeline: event timeline.
    :param metrics: counters.
    """

    __slots__ = (
        "_bundles",
        "_requester",
        "_timeline",
        "_metrics",
        "_throttle",
        "_manifests",
        "_encoder",
    )

    def __init__(
        self,
        bundles: register.BundleRegister,
        requester: Requester,
        clock: clocks.Clock,
        timeline: ring.Timeline,
        metrics: metric.Metrics,
    ) -> None:
        self._bundles = bundles
        self._requester = requester
        self._timeline = timeline
        self._metrics = metrics
        self._throttle = _FetchThrottle(clock)
        self._manifests = compression.RecentContents()
        self._encoder = msgspec.msgpack.Encoder()
        bundles.subscribe(self._remember_manifest)

    def _remember_manifest(self, in_force: register.BundleInForce) -> None:
        head = in_force.head
        self._manifests.add(head.manifest_sha256, head.signed.manifest_json.encode())

    async def answer_head(self, peer: str, body: bytes) -> bytes:
        """Answer a request for the bundle head.

        :param peer: requesting daemon.
        :param body: encoded request.
        :return: encoded answer.
        """
        request = decoding.decode_msgpack(body, peers.ContentAsk)
        in_force = self._bundles.current
        if in_force is None:
            raise errors.NotFound("no bundle is in force; try another daemon")
        return pack_answer(self._encoder.encode(in_force.head), request.base, self._manifests)

    async def answer_part(self, peer: str, body: bytes) -> bytes:
        """Answer a request for a piece of a bundle part.

        :param peer: requesting daemon.
        :param body: encoded request.
        :return: encoded answer.
        """
        request = decoding.decode_msgpack(body, peers.PartAsk)
        content = self._bundles.contents.get(request.sha256)
        if content is None:
            raise errors.NotFound("bundle part is not available here; try another daemon")
        piece = content[request.offset_bytes : request.offset_bytes + PIECE_BYTES]
        answer = peers.PartAnswer(size_bytes=len(content), content=compression.pack(piece, b""))
        return self._encoder.encode(answer)

    def should_fetch(self, version: int) -> bool:
        """Return whether to fetch a bundle version of a peer now.

        :param version: bundle version in force at the peer.
        """
        return version > self._bundles.version and self._throttle.may_fetch(version)

    async def fetch(self, peer: str, version: int) -> bool:
        """Fetch the bundle of a peer and put it in force.

        :param peer: daemon that has a newer bundle.
        :param version: its version.
        :return: whether a newer bundle was put in force.
        """
        self._throttle.record_attempt(version)
        self._throttle.is_busy = True
        try:
            fetched = await self._fetch(peer)
        finally:
            self._throttle.is_busy = False
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
        answered = await self._requester.ask(peer, HEAD, body, REQUEST_TIMEOUT_MS)
        if isinstance(answered, result.Err):
            return answered
        unpacked = unpack_answer(answered.ok_value, self._manifests)
        if isinstance(unpacked, result.Err):
            return unpacked
        try:
            head = decoding.decode_msgpack(unpacked.ok_value, bundle_records.Head)
        except msgspec.MsgspecError as error:
            message = f"bundle head cannot be decoded ({error}); upgrade one of the two daemons"
            return result.Err(errors.PeerMessageInvalid(message))
        return result.Ok(head)

    async def _fetch_part(
        self, peer: str, sha256: str
    ) -> result.Result[bytes, errors.TanagerforkError]:
        content = b""
        while True:
            request = peers.PartAsk(sha256=sha256, offset_bytes=len(content))
            body = self._encoder.encode(request)
            answered = await self._requester.ask(peer, PART, body, REQUEST_TIMEOUT_MS)
            if isinstance(answered, result.Err):
                return answered
            try:
                answer = decoding.decode_msgpack(answered.ok_value, peers.PartAnswer)
            except msgspec.MsgspecError as error:
                message = f"bundle part cannot be decoded ({error}); upgrade one of the two daemons"
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
            message = f"bundle part from {peer} does not match its hash; try another daemon"
            return result.Err(errors.PeerMessageInvalid(message))
        return result.Ok(content)


class LayoutTransfer:
    """Serves the layout to peers, and fetches newer ones from them.

    :param groups: groups known to this daemon.
    :param requester: sends requests to peers.
    :param clock: clock.
    :param metrics: counters.
    """

    __slots__ = ("_groups", "_requester", "_metrics", "_throttle", "_layouts", "_encoder")

    def __init__(
        self,
        groups: directory.GroupDirectory,
        requester: Requester,
        clock: clocks.Clock,
        metrics: metric.Metrics,
    ) -> None:
        self._groups = groups
        self._requester = requester
        self._metrics = metrics
        self._throttle = _FetchThrottle(clock)
        self._layouts = compression.RecentContents()
        self._encoder = msgspec.msgpack.Encoder()

    @property
    def serial(self) -> int:
        """Serial of the layout in force; 0 if there is none."""
        return self._groups.layout.serial if self._groups.layout else 0

    async def answer(self, peer: str, body: bytes) -> bytes:
        """Answer a request for the layout.

        :param peer: requesting daemon.
        :param body: encoded request.
        :return: encoded answer.
        """
        request = decoding.decode_msgpack(body, peers.ContentAsk)
        current = self._groups.layout
        if current is None:
            raise errors.NotFound("no layout is known; try another daemon")
        return pack_answer(self._remember_current(current), request.base, self._layouts)

    def should_fetch(self, serial: int) -> bool:
        """Return whether to fetch the layout of a peer now.

        :param serial: serial of its layout.
        """
        return serial > self.serial and self._throttle.may_fetch(serial)

    async def fetch(self, peer: str, serial: int) -> bool:
        """Fetch the layout of a peer and put it in force.

        :param peer: daemon of this failure domain that has a newer layout.
        :param serial: its serial.
        :return: whether a newer layout was put in force.
        """
        self._throttle.record_attempt(serial)
        self._throttle.is_busy = True
        try:
            fetched = await self._fetch(peer)
        finally:
            self._throttle.is_busy = False
        if isinstance(fetched, result.Err):
            self._metrics.count("peer_layouts_refused_total", kind=fetched.err_value.kind)
            return False
        before = self.serial
        self._groups.apply_layout(fetched.ok_value)
        return self.serial > before

    async def _fetch(
        self, peer: str
    ) -> result.Result[layout_records.Layout, errors.TanagerforkError]:
        if self._groups.layout is not None:
            self._remember_current(self._groups.layout)
        body = self._encoder.encode(peers.ContentAsk(base=self._layouts.newest))
        answered = await self._requester.ask(peer, LAYOUT, body, REQUEST_TIMEOUT_MS)
        if isinstance(answered, result.Err):
            return answered
        unpacked = unpack_answer(answered.ok_value, self._layouts)
        if isinstance(unpacked, result.Err):
            return unpacked
        try:
            return result.Ok(decoding.decode_msgpack(unpacked.ok_value, layout_records.Layout))
        except msgspec.MsgspecError as error:
            message = f"layout cannot be decoded ({error}); upgrade one of the two daemons"
            return result.Err(errors.PeerMessageInvalid(message))

    def _remember_current(self, current: layout_records.Layout) -> bytes:
        content = self._encoder.encode(current)
        self._layouts.add(manifests.hash_content(content), content)
        return content


def pack_answer(content: bytes, base: str, known: compression.RecentContents) -> bytes:
    """Encode content, compressed against a version that the requesting daemon has.

    :param content: requested content.
    :param base: hash of the version that the requesting daemon has.
    :param known: recent versions that this daemon keeps.
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
    :param contents: recent versions that it may be compressed against.
    :return: the content, or why it was rejected.
    """
    try:
        answer = decoding.decode_msgpack(body, peers.ContentAnswer)
    except msgspec.MsgspecError as error:
        message = f"answer cannot be decoded ({error}); upgrade one of the two daemons"
        return result.Err(errors.PeerMessageInvalid(message))
    return compression.unpack(answer.content, contents.find(answer.base), CONTENT_LIMIT_BYTES)
