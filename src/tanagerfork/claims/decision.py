"""Rules of claims, without I/O: at most one attempt runs per Idempotency-Key.

A record starts as `claimed` and is settled once, by its own attempt. Only a `not_run` record may be
claimed again; a record that stays `claimed` because its daemon crashed may not.
"""

import base64
from typing import Literal

import msgspec

from tanagerfork.generated import claims

Verdict = Literal["granted", "taken", "reused", "full", "settled", "superseded"]

MAX_RECORD_BYTES = 320  # Without the body of the answer.
SHARD_LIMIT_FOR_BODIES_BYTES = 600_000  # Larger shards store no further answer bodies.
SHARD_LIMIT_FOR_CLAIMS_BYTES = 800_000  # Larger shards accept no further claims.
MAX_KEPT_ANSWER_BYTES = 4_096
MAX_CONTENT_TYPE_CHARS = 80


class Shard:
    """The claims of one shard, by key hash.

    :param records: stored claims.
    """

    __slots__ = ("records", "size_bytes")

    def __init__(self, records: list[claims.ClaimRecord]) -> None:
        self.records = {record.key_hash: record for record in records}
        self.size_bytes = sum(map(measure_record, records))

    def copy(self) -> "Shard":
        """Return an independent copy."""
        duplicate = Shard([])
        duplicate.records = dict(self.records)
        duplicate.size_bytes = self.size_bytes
        return duplicate

    def put(self, record: claims.ClaimRecord) -> None:
        """Add or replace a claim.

        :param record: claim.
        """
        existing = self.records.get(record.key_hash)
        self.size_bytes += measure_record(record) - (measure_record(existing) if existing else 0)
        self.records[record.key_hash] = record


def measure_record(record: claims.ClaimRecord) -> int:
    """Return the upper bound of the bytes that a record takes in its shard.

    :param record: claim.
    """
    return MAX_RECORD_BYTES + len(record.answer)


def apply_record(shard: Shard, record: claims.ClaimRecord) -> claims.ClaimReply:
    """Apply a claim or an outcome to a shard.

    :param shard: shard as read; changed if the record has to be written.
    :param record: a claim if its state is `claimed`, otherwise an outcome.
    :return: reply, which is valid once the shard is written, or at once if it is unchanged.
    """
    if record.state == "claimed":
        return apply_claim(shard, record)
    return apply_outcome(shard, record)


def apply_claim(shard: Shard, claim: claims.ClaimRecord) -> claims.ClaimReply:
    """Apply a claim to a shard.

    :param shard: shard as read; changed if the claim is granted.
    :param claim: claim.
    :return: verdict and the record in force.
    """
    existing = shard.records.get(claim.key_hash)
    if existing is None:
        if shard.size_bytes > SHARD_LIMIT_FOR_CLAIMS_BYTES:
            return claims.ClaimReply(verdict="full", record=claim)
        return _grant(shard, claim)
    if existing.attempt == claim.attempt:
        is_in_force = existing.state == "claimed"
        return claims.ClaimReply(verdict="granted" if is_in_force else "taken", record=existing)
    if existing.request_hash != claim.request_hash:
        return claims.ClaimReply(verdict="reused", record=existing)
    if existing.state == "not_run":
        return _grant(shard, claim)
    return claims.ClaimReply(verdict="taken", record=existing)


def apply_outcome(shard: Shard, outcome: claims.ClaimRecord) -> claims.ClaimReply:
    """Apply the outcome of an attempt to a shard.

    An outcome whose claim is missing is written as well: the write of the claim may still be in
    flight, and the new revision prevents it from taking effect.

    :param shard: shard as read; changed if the outcome is new.
    :param outcome: record of the outcome.
    :return: verdict and the record in force.
    """
    existing = shard.records.get(outcome.key_hash)
    if existing is not None and existing.attempt != outcome.attempt:
        return claims.ClaimReply(verdict="superseded", record=existing)
    if existing is not None and existing.state != "claimed":
        return claims.ClaimReply(verdict="settled", record=existing)
    if shard.size_bytes + len(outcome.answer) > SHARD_LIMIT_FOR_BODIES_BYTES:
        outcome = msgspec.structs.replace(outcome, answer="")
    shard.put(outcome)
    return claims.ClaimReply(verdict="settled", record=outcome)


def make_outcome(
    claim: claims.ClaimRecord, state: str, status: int, content_type: str, body: bytes
) -> claims.ClaimRecord:
    """Return the record of an outcome.

    :param claim: claim of the attempt.
    :param state: `answered`, `not_run` or `unknown`.
    :param status: HTTP status of the answer.
    :param content_type: content type of the answer.
    :param body: body of the answer; kept only up to `MAX_KEPT_ANSWER_BYTES`.
    :return: the record.
    """
    is_kept = len(body) <= MAX_KEPT_ANSWER_BYTES and len(content_type) <= MAX_CONTENT_TYPE_CHARS
    return msgspec.structs.replace(
        claim,
        state=state,
        status=status,
        content_type=content_type[:MAX_CONTENT_TYPE_CHARS],
        answer_bytes=len(body),
        answer=base64.b64encode(body).decode() if is_kept else "",
    )


def is_answer_kept(record: claims.ClaimRecord) -> bool:
    """Return whether the complete answer can be repeated from the record.

    :param record: record of an answered attempt.
    """
    return bool(record.answer) or not record.answer_bytes


def drop_bodies(shard: Shard, before_ms: int) -> None:
    """Drop the bodies of old answers; the records that the attempts ran are kept.

    :param shard: shard, which is changed.
    :param before_ms: wall clock, since the epoch; bodies of earlier claims are dropped.
    """
    for record in list(shard.records.values()):
        if record.answer and record.claimed_at_ms < before_ms:
            shard.put(msgspec.structs.replace(record, answer=""))


def _grant(shard: Shard, claim: claims.ClaimRecord) -> claims.ClaimReply:
    shard.put(claim)
    return claims.ClaimReply(verdict="granted", record=claim)
