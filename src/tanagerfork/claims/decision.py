"""Decisions on claims, without I/O: one Idempotency-Key, at most one attempt."""

import dataclasses
import hashlib

from tanagerfork.generated import claims


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimWish:
    """What a daemon wants to claim."""

    key_sha256: str
    body_sha256: str
    attempt: str


@dataclasses.dataclass(slots=True, frozen=True)
class Granted:
    """The claim is to be written; the attempt may run once the write is known to be in force."""

    record: claims.ClaimRecord


@dataclasses.dataclass(slots=True, frozen=True)
class Taken:
    """The key was claimed before, with the same request."""

    record: claims.ClaimRecord


@dataclasses.dataclass(slots=True, frozen=True)
class Reused:
    """The key was claimed before, with another request."""

    record: claims.ClaimRecord


Decision = Granted | Taken | Reused


def hash_key(team: str, key: str) -> str:
    """Return the hash under which a key is claimed.

    :param team: team, so that two teams' keys never meet.
    :param key: Idempotency-Key.
    :return: SHA-256, hexadecimal.
    """
    return hashlib.sha256(f"{team}\0{key}".encode()).hexdigest()


def hash_request(method: str, path: str, body: bytes) -> str:
    """Return the hash that tells whether two requests are the same.

    :param method: HTTP method.
    :param path: path with its query.
    :param body: body.
    :return: SHA-256, hexadecimal.
    """
    return hashlib.sha256(f"{method}\0{path}\0".encode() + body).hexdigest()


def find_shard(key_sha256: str, shards: int) -> int:
    """Return the shard that a key belongs to.

    :param key_sha256: hash of the key.
    :param shards: number of shards.
    :return: number of the shard.
    """
    return int(key_sha256[:8], 16) % shards


def decide_claim(shard: claims.ClaimShard, wish: ClaimWish, wall_ms: int) -> Decision:
    """Decide on a claim.

    :param shard: claims of the key's shard as read.
    :param wish: what is to be claimed.
    :param wall_ms: wall clock, since the epoch.
    :return: what may be done.
    """
    known = find_claim(shard, wish.key_sha256)
    if known is None or known.state == "not_run" and known.body_sha256 == wish.body_sha256:
        record = claims.ClaimRecord(
            key_sha256=wish.key_sha256,
            body_sha256=wish.body_sha256,
            attempt=wish.attempt,
            claimed_at_ms=wall_ms,
            state="claimed",
        )
        return Granted(record)
    if known.body_sha256 != wish.body_sha256:
        return Reused(known)
    return Taken(known)


def find_claim(shard: claims.ClaimShard, key_sha256: str) -> claims.ClaimRecord | None:
    """Return the claim on a key, None where there is none.

    :param shard: claims of the key's shard.
    :param key_sha256: hash of the key.
    """
    return next((item for item in shard.claims if item.key_sha256 == key_sha256), None)


def put_claim(shard: claims.ClaimShard, record: claims.ClaimRecord) -> None:
    """Add or replace the claim on a key.

    :param shard: claims of the key's shard; changed.
    :param record: claim.
    """
    shard.claims = [item for item in shard.claims if item.key_sha256 != record.key_sha256]
    shard.claims.append(record)
