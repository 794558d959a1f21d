"""Decisions on claims, without I/O: one Idempotency-Key, at most one attempt.

A record starts as `claimed` and is settled once, by its own attempt. Only a record that says
`not_run` may be claimed again; one that stays `claimed` because its daemon died never is.
"""

import base64
from typing import Literal

import msgspec

from tanagerfork.generated import claims

Verdict = Literal["granted", "taken", "reused", "full", "settled", "superseded"]

RECORD_BYTES = 320  # A record without the body of its answer, at most.
BODY_LIMIT_BYTES = 600_000  # Bodies are kept while the shard is smaller.
CLAIM_LIMIT_BYTES = 800_000  # Claims are taken while the shard is smaller.
ANSWER_LIMIT_BYTES = 4_096
TYPE_LIMIT_CHARS = 80


class Shard:
    """The claims of one shard, by the hash of their key.

    :param records: claims as stored.
    """

    __slots__ = ("records", "size_bytes")

    def __init__(self, records: list[claims.ClaimRecord]) -> None:
        self.records = {record.key_hash: record for record in records}
        self.size_bytes = sum(map(measure_record, records))

    def copy(self) -> "Shard":
        """Return a shard that can be changed apart."""
        twin = Shard([])
        twin.records = dict(self.records)
        twin.size_bytes = self.size_bytes
        return twin

    def put(self, record: claims.ClaimRecord) -> None:
        """Add or replace a claim.

        :param record: claim.
        """
        known = self.records.get(record.key_hash)
        self.size_bytes += measure_record(record) - (measure_record(known) if known else 0)
        self.records[record.key_hash] = record


def measure_record(record: claims.ClaimRecord) -> int:
    """Return the most bytes that a record takes in its shard.

    :param record: claim.
    """
    return RECORD_BYTES + len(record.answer)


def apply_record(shard: Shard, record: claims.ClaimRecord) -> claims.ClaimReply:
    """Apply a claim or an outcome to a shard.

    :param shard: shard as read; changed where the record is to be written.
    :param record: a claim where its state is `claimed`, else an outcome.
    :return: what became of it once the shard is written, or at once where it is unchanged.
    """
    if record.state == "claimed":
        return apply_claim(shard, record)
    return apply_outcome(shard, record)


def apply_claim(shard: Shard, wish: claims.ClaimRecord) -> claims.ClaimReply:
    """Apply a claim to a shard.

    :param shard: shard as read; changed where the claim is granted.
    :param wish: claim.
    :return: verdict with the record in force.
    """
    known = shard.records.get(wish.key_hash)
    if known is None:
        if shard.size_bytes > CLAIM_LIMIT_BYTES:
            return claims.ClaimReply(verdict="full", record=wish)
        return _grant(shard, wish)
    if known.attempt == wish.attempt:
        is_in_force = known.state == "claimed"
        return claims.ClaimReply(verdict="granted" if is_in_force else "taken", record=known)
    if known.request_hash != wish.request_hash:
        return claims.ClaimReply(verdict="reused", record=known)
    if known.state == "not_run":
        return _grant(shard, wish)
    return claims.ClaimReply(verdict="taken", record=known)


def apply_outcome(shard: Shard, outcome: claims.ClaimRecord) -> claims.ClaimReply:
    """Apply the outcome of an attempt to a shard.

    An outcome whose claim is missing is written too: its claim's write may still be under way, and
    is kept from taking effect by the new revision.

    :param shard: shard as read; changed where the outcome is new.
    :param outcome: record with the outcome.
    :return: verdict with the record in force.
    """
    known = shard.records.get(outcome.key_hash)
    if known is not None and known.attempt != outcome.attempt:
        return claims.ClaimReply(verdict="superseded", record=known)
    if known is not None and known.state != "claimed":
        return claims.ClaimReply(verdict="settled", record=known)
    if shard.size_bytes + len(outcome.answer) > BODY_LIMIT_BYTES:
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
    :param content_type: type of the answer.
    :param body: body of the answer; kept up to `ANSWER_LIMIT_BYTES`.
    :return: the record.
    """
    is_kept = len(body) <= ANSWER_LIMIT_BYTES and len(content_type) <= TYPE_LIMIT_CHARS
    return msgspec.structs.replace(
        claim,
        state=state,
        status=status,
        content_type=content_type[:TYPE_LIMIT_CHARS],
        answer_bytes=len(body),
        answer=base64.b64encode(body).decode() if is_kept else "",
    )


def is_answer_kept(record: claims.ClaimRecord) -> bool:
    """Return whether the whole answer can be given again.

    :param record: record of an answered attempt.
    """
    return bool(record.answer) or not record.answer_bytes


def drop_bodies(shard: Shard, before_ms: int) -> None:
    """Drop the bodies of old answers; that the attempts ran stays known.

    :param shard: shard; changed.
    :param before_ms: wall clock; bodies of claims before it are dropped.
    """
    for record in list(shard.records.values()):
        if record.answer and record.claimed_at_ms < before_ms:
            shard.put(msgspec.structs.replace(record, answer=""))


def _grant(shard: Shard, wish: claims.ClaimRecord) -> claims.ClaimReply:
    shard.put(wish)
    return claims.ClaimReply(verdict="granted", record=wish)
