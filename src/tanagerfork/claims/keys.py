"""Location of the claim on an Idempotency-Key: its shard, and its hash within the shard.

A time-ordered UUID (version 7) contains the time of its creation, so its claim is stored in a
bucket for that time and can be deleted once all daemons refuse keys of that time. Any other key has
no time; its claim is never deleted, because the request would run a second time if it were sent
again later.

A write carries a whole shard, so short buckets keep the bytes written per second low, and few
shards per bucket keep the number of writes low. `SHARDS_PER_BUCKET` shards, each written at most
every `writer.WRITE_INTERVAL_MS`, stay under 300 writes per second for any number of claims; as the
clocks of callers differ, more than one bucket is in use at a time. At 350 claims per second a shard
grows to about 58 records of about 400 bytes. `PLAIN_SHARDS` shards of records without a body (about
230 bytes) hold about 3.5 million keys that are not time-ordered; callers that need more of them, or
more than about 100 per second, have to use time-ordered UUIDs.
"""

import base64
import dataclasses
import hashlib
import uuid

BUCKET_MS = 500
SHARDS_PER_BUCKET = 3
PLAIN_SHARDS = 1_024
TIMED_PREFIX = "claims/timed/"
PLAIN_PREFIX = "claims/plain/"
KEPT_HASH_BYTES = 16
BUCKET_DIGITS = 12  # Zero-padded names sort like numbers, so that a range can be deleted.
UUID_TIME_SHIFT_BITS = 80  # Bits of a version 7 UUID below its timestamp.


@dataclasses.dataclass(slots=True, frozen=True)
class KeyLocation:
    """Where the claim on a key is stored; depends only on team and key."""

    key_hash: str
    shard: str
    created_at_ms: int | None


def locate_key(team: str, key: str) -> KeyLocation:
    """Return where the claim on a key is stored.

    :param team: team; the same key of two teams has two locations.
    :param key: Idempotency-Key.
    :return: the location.
    """
    digest = hashlib.sha256(f"{team}\0{key}".encode()).digest()
    number = int.from_bytes(digest[-4:])
    created_at_ms = parse_created_at_ms(key)
    if created_at_ms is None:
        shard = f"{PLAIN_PREFIX}{number % PLAIN_SHARDS:04}"
    else:
        shard = f"{name_bucket(created_at_ms)}/{number % SHARDS_PER_BUCKET}"
    return KeyLocation(_encode_hash(digest), shard, created_at_ms)


def parse_created_at_ms(key: str) -> int | None:
    """Return the creation time of a time-ordered key, in milliseconds since the epoch.

    :param key: Idempotency-Key.
    :return: creation time, None for any other key.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return parsed.int >> UUID_TIME_SHIFT_BITS


def name_bucket(created_at_ms: int) -> str:
    """Return the common prefix of the shards for a time.

    :param created_at_ms: when a key was created, in milliseconds since the epoch.
    """
    return f"{TIMED_PREFIX}{created_at_ms // BUCKET_MS:0{BUCKET_DIGITS}}"


def hash_request(method: str, path: str, body: bytes) -> str:
    """Return the hash by which two requests under one key are compared.

    :param method: HTTP method.
    :param path: path with its query.
    :param body: body.
    :return: hash.
    """
    return _encode_hash(hashlib.sha256(f"{method}\0{path}\0".encode() + body).digest())


def make_timed_key(wall_ms: int, random_bits: int) -> str:
    """Return a time-ordered key.

    :param wall_ms: wall clock, in milliseconds since the epoch.
    :param random_bits: 74 random bits.
    :return: UUID of version 7.
    """
    high, low = random_bits >> 62 & 0xFFF, random_bits & (1 << 62) - 1
    return str(
        uuid.UUID(int=wall_ms << UUID_TIME_SHIFT_BITS | 7 << 76 | high << 64 | 2 << 62 | low)
    )


def _encode_hash(digest: bytes) -> str:
    return base64.urlsafe_b64encode(digest[:KEPT_HASH_BYTES]).rstrip(b"=").decode()
