"""Where the claim on an Idempotency-Key is kept.

A time-ordered UUID (version 7) names the time it was made, so its claim belongs to the shard of
that time and can be forgotten once all daemons refuse keys of that time. Any other key has no time;
its claim is never forgotten, because a late re-send would run a second time.

How many shards there are: a write carries a whole shard, so short buckets keep the bytes written a
second low, and few lanes keep the writes few. `LANES` lanes, each written at most every
`writer.GROUP_MS`, stay under 300 writes a second whatever the number of claims; keys of callers
whose clocks differ keep more than one bucket in use at a time. At 350 claims a second a shard holds
some 58 records of about 400 bytes at its end. `PLAIN_SHARDS` shards of records without a body
(about 230 bytes) hold some 3.5 million keys that are not time-ordered; callers that make more, or
more than some 100 a second, take time-ordered UUIDs.
"""

import base64
import dataclasses
import hashlib
import uuid

BUCKET_MS = 500
LANES = 3
PLAIN_SHARDS = 1_024
TIMED_PREFIX = "claims/timed/"
PLAIN_PREFIX = "claims/plain/"
HASH_BYTES = 16
BUCKET_DIGITS = 12  # Buckets sort like numbers, so that a range of them can be deleted.
UNIX_MS_SHIFT = 80  # Bits of a version 7 UUID after its time.


@dataclasses.dataclass(slots=True, frozen=True)
class KeyPlace:
    """Where a key's claim is kept; a pure function of team and key."""

    key_hash: str
    shard: str
    made_at_ms: int | None


def place_key(team: str, key: str) -> KeyPlace:
    """Return where the claim on a key is kept.

    :param team: team, so that two teams' keys never meet.
    :param key: Idempotency-Key.
    :return: the place.
    """
    digest = hashlib.sha256(f"{team}\0{key}".encode()).digest()
    number = int.from_bytes(digest[-4:])
    made_at_ms = read_time(key)
    if made_at_ms is None:
        shard = f"{PLAIN_PREFIX}{number % PLAIN_SHARDS:04}"
    else:
        shard = f"{name_bucket(made_at_ms)}/{number % LANES}"
    return KeyPlace(_encode_hash(digest), shard, made_at_ms)


def read_time(key: str) -> int | None:
    """Return when a time-ordered key was made, since the epoch; None for any other key.

    :param key: Idempotency-Key.
    """
    try:
        read = uuid.UUID(key)
    except ValueError:
        return None
    if read.version != 7:
        return None
    return read.int >> UNIX_MS_SHIFT


def name_bucket(made_at_ms: int) -> str:
    """Return the start of the shard keys for a time.

    :param made_at_ms: when a key was made, since the epoch.
    """
    return f"{TIMED_PREFIX}{made_at_ms // BUCKET_MS:0{BUCKET_DIGITS}}"


def hash_request(method: str, path: str, body: bytes) -> str:
    """Return the hash that tells whether two requests are the same.

    :param method: HTTP method.
    :param path: path with its query.
    :param body: body.
    :return: hash.
    """
    return _encode_hash(hashlib.sha256(f"{method}\0{path}\0".encode() + body).digest())


def make_timed_key(wall_ms: int, random_bits: int) -> str:
    """Make a time-ordered key.

    :param wall_ms: wall clock, since the epoch.
    :param random_bits: 74 random bits.
    :return: UUID of version 7.
    """
    high, low = random_bits >> 62 & 0xFFF, random_bits & (1 << 62) - 1
    return str(uuid.UUID(int=wall_ms << UNIX_MS_SHIFT | 7 << 76 | high << 64 | 2 << 62 | low))


def _encode_hash(digest: bytes) -> str:
    return base64.urlsafe_b64encode(digest[:HASH_BYTES]).rstrip(b"=").decode()
