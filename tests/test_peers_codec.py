"""Tests of the codec: invalid frames are dropped without any other effect."""

import hypothesis
import msgspec
import pytest
from bench import peer_network
from hypothesis import strategies

from tanagerfork.generated import peers
from tanagerfork.peers import codec

KEY = "old-key"
ADDRESS = "10.0.0.1:1"
MESSAGE = peers.PeerMessage(
    kind="gossip",
    sender="b",
    failure_domain="ipoh-a",
    incarnation=1,
    sequence=1,
    sent_ms=1,
    body=b"",
    entries=[peers.PeerEntry(name="b", incarnation=1, state="alive", address="b:1")],
)
FRAME = codec.Codec([KEY]).encode(MESSAGE, ADDRESS)

fuzzed = hypothesis.settings(derandomize=True, max_examples=300, deadline=None, database=None)


def decode(frame: bytes, keys: list[str], receiver: str = ADDRESS) -> str:
    """Return why a frame is dropped; empty if it is accepted."""
    decoded = codec.Codec(keys).decode(frame, receiver)
    return decoded.err_value.reason if decoded.is_err() else ""


class TestDecode:
    def test_message_survives_a_round_trip(self):
        assert codec.Codec([KEY]).decode(FRAME, ADDRESS).ok_value == MESSAGE

    @pytest.mark.parametrize(
        ("frame", "keys", "receiver", "reason"),
        [
            (b"", [KEY], ADDRESS, codec.GARBAGE),
            (FRAME[:10], [KEY], ADDRESS, codec.GARBAGE),
            (bytes((9,)) + FRAME[1:], [KEY], ADDRESS, codec.OTHER_VERSION),
            (FRAME, ["other-key"], ADDRESS, codec.WRONG_KEY),
            (FRAME, [KEY], "10.0.0.2:1", codec.WRONG_KEY),
            (FRAME[:-1], [KEY], ADDRESS, codec.WRONG_KEY),
            (FRAME + bytes(codec.MESSAGE_LIMIT_BYTES), [KEY], ADDRESS, codec.OVERSIZED),
        ],
    )
    def test_invalid_frame_is_dropped_with_its_reason(self, frame, keys, receiver, reason):
        assert decode(frame, keys, receiver) == reason

    def test_former_key_is_accepted_but_not_used_for_sending(self):
        assert decode(FRAME, ["new-key", KEY]) == ""
        assert decode(codec.Codec(["new-key", KEY]).encode(MESSAGE, ADDRESS), [KEY]) != ""

    def test_fields_of_a_later_version_are_ignored(self):
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(MESSAGE))
        body = msgspec.msgpack.encode([*fields, "a later field"])
        frame = sign(body)
        assert decode(frame, [KEY]) == ""


def sign(body: bytes) -> bytes:
    """Return a frame with any body, signed with the right key."""
    return bytes((codec.PROTOCOL,)) + codec._sign(codec.Codec([KEY])._keys[0], ADDRESS, body) + body


class TestFuzz:
    @fuzzed
    @hypothesis.given(strategies.binary(max_size=400))
    def test_garbage_is_dropped(self, frame):
        assert decode(frame, [KEY]) != ""

    @fuzzed
    @hypothesis.given(strategies.binary(max_size=400))
    def test_authentic_garbage_is_dropped(self, body):
        assert decode(sign(body), [KEY]) == codec.GARBAGE

    @fuzzed
    @hypothesis.given(strategies.integers(0, len(FRAME) * 8 - 1))
    def test_any_flipped_bit_is_detected(self, bit):
        frame = bytearray(FRAME)
        frame[bit // 8] ^= 1 << (bit % 8)
        assert decode(bytes(frame), [KEY]) != ""

    @fuzzed
    @hypothesis.given(strategies.data())
    def test_authentic_message_with_any_content_never_raises(self, data):
        network = peer_network.Network(1)
        node = peer_network.start_domain(network, 2)[0]
        network.run(3000)
        size = strategies.integers(0, 2**62)
        name = strategies.sampled_from(["ipoh-a-0", "ipoh-a-1", "x"])
        fields = {
            "kind": data.draw(strategies.sampled_from(["gossip", "ack", "hello", "relay", "ask"])),
            "sender": data.draw(name),
            "incarnation": data.draw(size),
            "sequence": data.draw(size),
            "sent_ms": data.draw(size),
            "echo_ms": data.draw(size),
            "echo_held_ms": data.draw(size),
            "subject": data.draw(name),
            "address": data.draw(name),
        }
        message = msgspec.structs.replace(MESSAGE, **fields)
        node.take(node.codec.encode(message, node.address))
        network.run(1000)
