"""Decodes the directory entries and the reports of upstreams."""

import math
from typing import Annotated

import msgspec

from tanagerfork import addresses, decoding
from tanagerfork.relay import members

SERVERS_PREFIX = "servers/"
IS_LEAVING_BY_STATE = {"ready": False, "draining": True}
# No upstream runs more requests at once; a larger number would draw all requests to it.
Slots = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
# The groups that were formed after an entry with a high epoch of another writer are read too.
Epoch = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
MAX_COLD_MS = 600_000.0  # A longer time is a mistake, and is renewed with the entry if it is not.


class _Group(msgspec.Struct):
    """`state` is the state of the member, not of the group."""

    name: str
    epoch: Epoch
    rank: decoding.Count
    state: str


class _Model(msgspec.Struct):
    name: str


class _Entry(msgspec.Struct):
    """`seq` is the number of refreshes; in a report, it is the number of accepted orders.

    `zone` is the failure domain, `domain` the fabric domain, `version` that of the software. Every
    entry of an upstream has the fields without defaults; one that lacks some, or has them of
    another type, is from another writer.
    """

    service: str
    address: str
    zone: str
    version: str
    state: str
    slots: Slots
    seq: decoding.Count
    cold_left_ms: float = msgspec.field(name="coldLeftMs")
    born: decoding.Count = 0
    domain: str = ""
    staged: list[str] = []
    models: list[_Model] = []
    group: _Group | None = None


class _Report(msgspec.Struct):
    """`seq` is the number of accepted orders; `active` and `queued` are numbers of requests."""

    seq: decoding.Count = 0
    busy: bool = False
    born: decoding.Count = 0
    staged: list[str] = []
    group: _Group | None = None
    pace: float = 1.0
    active: int = 0
    queued: int = 0
    cold_left_ms: msgspec.Raw = msgspec.field(default=msgspec.Raw(b"0"), name="coldLeftMs")


def decode_entry(key: str, value: bytes) -> members.Upstream | None:
    """Decode a directory entry.

    :param key: key of the entry, which ends in the upstream's id.
    :param value: value of the entry.
    :return: the upstream; None if the entry is malformed or incomplete, names no service or no
        address to connect to, or has an unknown state.
    """
    try:
        entry = decoding.decode_json(value, _Entry)
        membership = _to_membership(entry.group)
    except (msgspec.MsgspecError, ValueError):
        return None
    if entry.state not in IS_LEAVING_BY_STATE or not entry.service:
        return None
    if not addresses.is_valid(entry.address):
        return None
    return members.Upstream(
        id=key.removeprefix(SERVERS_PREFIX),
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        is_leaving=IS_LEAVING_BY_STATE[entry.state],
        slots=entry.slots,
        born_at_ms=entry.born,
        refresh_count=entry.seq,
        fabric_domain=entry.domain,
        staged=tuple(entry.staged),
        models=tuple(model.name for model in entry.models),
        membership=membership,
        cold_left_ms=_limit_cold_ms(entry.cold_left_ms),
    )


def decode_report(body: bytes) -> members.Report | None:
    """Decode an upstream's report.

    :param body: body of the response.
    :return: the report; None if it is malformed.
    """
    try:
        report = decoding.decode_json(body, _Report)
        membership = _to_membership(report.group)
    except (msgspec.MsgspecError, ValueError):
        return None
    return members.Report(
        born_at_ms=report.born,
        order_count=report.seq,
        is_busy=report.busy,
        staged=tuple(report.staged),
        membership=membership,
        pace=report.pace,
        running=report.active,
        waiting=report.queued,
        cold_left_ms=_limit_cold_ms(_read_cold_ms(report.cold_left_ms)),
    )


def _read_cold_ms(value: msgspec.Raw) -> float:
    """Return the cold time in a report, which a malformed one does not lose; 0 if it is none."""
    try:
        return decoding.decode_json(value, float)
    except msgspec.MsgspecError:
        return 0.0


def _limit_cold_ms(cold_ms: float) -> float:
    """Return a cold time within 0 and `MAX_COLD_MS`; 0 if it is not finite."""
    return min(MAX_COLD_MS, max(0.0, cold_ms)) if math.isfinite(cold_ms) else 0.0


def _to_membership(group: _Group | None) -> members.GroupMembership | None:
    if group is None or not group.name:
        return None
    state = members.MemberState(group.state)
    return members.GroupMembership(group.name, group.epoch, group.rank, state)
