"""Decodes what upstreams write to the store and say in their reports."""

import ipaddress

import msgspec

from tanagerfork.relay import members

SERVERS_PREFIX = "servers/"
STATES = {"ready": False, "draining": True}  # Whether an entry's state means leaving.


class _Group(msgspec.Struct):
    """`state` is that of the member, not of the group."""

    name: str
    epoch: int
    rank: int
    state: str


class _Model(msgspec.Struct):
    name: str


class _Entry(msgspec.Struct):
    """`seq` counts refreshes here; in a report the same name counts accepted orders.

    `zone` is the failure domain, `domain` the fabric domain.
    """

    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    seq: int = 0
    born: int = 0
    domain: str = ""
    staged: list[str] = []
    models: list[_Model] = []
    group: _Group | None = None


class _Report(msgspec.Struct):
    """`seq` counts accepted orders; `active` and `queued` are requests."""

    seq: int = 0
    busy: bool = False
    born: int = 0
    staged: list[str] = []
    group: _Group | None = None
    pace: float = 1.0
    active: int = 0
    queued: int = 0


def decode_entry(key: str, value: bytes) -> members.Upstream | None:
    """Decode a directory entry.

    :param key: key of the entry, which ends in the upstream's id.
    :param value: value of the entry.
    :return: the upstream, None where the entry names none to use.
    """
    try:
        entry = msgspec.json.decode(value, type=_Entry)
        membership = _to_mark(entry.group)
        host, _, port = entry.address.rpartition(":")
        ipaddress.ip_address(host)
        int(port)
    except (msgspec.MsgspecError, ValueError):
        return None
    if entry.state not in STATES or not entry.service:
        return None
    return members.Upstream(
        id=key.removeprefix(SERVERS_PREFIX),
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        is_leaving=STATES[entry.state],
        slots=entry.slots,
        born_at_ms=entry.born,
        refresh_count=entry.seq,
        fabric_domain=entry.domain,
        staged=tuple(entry.staged),
        models=tuple(model.name for model in entry.models),
        membership=membership,
    )


def decode_report(body: bytes) -> members.Report | None:
    """Decode an upstream's report.

    :param body: body of the answer.
    :return: the report, None where it cannot be read.
    """
    try:
        report = msgspec.json.decode(body, type=_Report)
        membership = _to_mark(report.group)
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
    )


def _to_mark(group: _Group | None) -> members.GroupMembership | None:
    if group is None or not group.name:
        return None
    state = members.MemberState(group.state)
    return members.GroupMembership(group.name, group.epoch, group.rank, state)
