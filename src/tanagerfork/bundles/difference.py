"""What differs between two bundles, and how a draft is moved onto a newer bundle."""

import dataclasses
from collections.abc import Iterable, Mapping

import msgspec

from tanagerfork.generated import bundle as records

Item = records.Model | records.Service | records.Team
Fields = Mapping[str, object]

NAMED_LISTS = {"models": "model", "services": "service", "teams": "team"}
POLICY = "policy"
POLICY_FIELDS = ("name", "priorities", "placement")


@dataclasses.dataclass(slots=True, frozen=True)
class FieldChange:
    """A field that differs, as JSON; empty where the item lacks it."""

    field: str
    before: str
    after: str


@dataclasses.dataclass(slots=True, frozen=True)
class ItemChange:
    """An item that was added, removed or changed."""

    item: str
    kind: str
    fields: tuple[FieldChange, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """A field, or a whole item where `field` is empty, that both sides changed otherwise."""

    item: str
    field: str
    base: str
    mine: str
    theirs: str


@dataclasses.dataclass(slots=True, frozen=True)
class Rebased:
    """A draft on a newer bundle; where there are conflicts, it holds what is in force."""

    bundle: records.Bundle
    conflicts: tuple[Conflict, ...]


def describe(old: records.Bundle | None, new: records.Bundle) -> list[ItemChange]:
    """Describe what differs between two bundles.

    :param old: earlier bundle, None for none.
    :param new: later bundle.
    :return: changes by item; empty where nothing differs.
    """
    before, after = _read_items(old), _read_items(new)
    changes: list[ItemChange] = []
    for item in _merge_names(before, after):
        if item not in before:
            changes.append(ItemChange(item, "added", _compare({}, after[item])))
        elif item not in after:
            changes.append(ItemChange(item, "removed", _compare(before[item], {})))
        elif before[item] != after[item]:
            changes.append(ItemChange(item, "changed", _compare(before[item], after[item])))
    return changes


def rebase(base: records.Bundle, mine: records.Bundle, theirs: records.Bundle) -> Rebased:
    """Apply what a draft changed to the bundle that came in force meanwhile.

    :param base: bundle that the draft was made from.
    :param mine: the draft.
    :param theirs: bundle in force.
    :return: the new draft and the conflicts to be settled by hand.
    """
    before, own, other = _read_items(base), _read_items(mine), _read_items(theirs)
    merged: dict[str, Fields] = {}
    conflicts: list[Conflict] = []
    for item in _merge_names(other, own):
        fields = _merge_item(item, before.get(item), own.get(item), other.get(item), conflicts)
        if fields is not None:
            merged[item] = fields
    return Rebased(_build_bundle(merged), tuple(conflicts))


def _merge_item(
    item: str, base: Fields | None, mine: Fields | None, theirs: Fields | None, conflicts: list
) -> Fields | None:
    if mine == base:
        return theirs
    if theirs in (base, mine):
        return mine
    if base is None or mine is None or theirs is None:
        conflicts.append(Conflict(item, "", _show(base), _show(mine), _show(theirs)))
        return theirs
    merged = dict(theirs)
    for field in mine:
        if mine[field] == base[field] or mine[field] == theirs[field]:
            continue
        if theirs[field] == base[field]:
            merged[field] = mine[field]
            continue
        texts = (_show(side[field]) for side in (base, mine, theirs))
        conflicts.append(Conflict(item, field, *texts))
    return merged


def _read_items(bundle: records.Bundle | None) -> dict[str, Fields]:
    if bundle is None:
        return {}
    policy = {field: msgspec.to_builtins(getattr(bundle, field)) for field in POLICY_FIELDS}
    items: dict[str, Fields] = {POLICY: policy}
    for list_name, kind in NAMED_LISTS.items():
        for record in getattr(bundle, list_name):
            items[f"{kind} {record.name}"] = msgspec.to_builtins(record)
    return items


def _build_bundle(items: Mapping[str, Fields]) -> records.Bundle:
    fields: dict[str, object] = dict(items.get(POLICY, {}))
    for list_name, kind in NAMED_LISTS.items():
        fields[list_name] = [
            record for item, record in items.items() if item.startswith(f"{kind} ")
        ]
    return msgspec.convert(fields, type=records.Bundle)


def _compare(before: Fields, after: Fields) -> tuple[FieldChange, ...]:
    return tuple(
        FieldChange(
            field,
            _show(before[field]) if field in before else "",
            _show(after[field]) if field in after else "",
        )
        for field in _merge_names(before, after)
        if field not in before or field not in after or before[field] != after[field]
    )


def _merge_names(first: Iterable[str], second: Iterable[str]) -> list[str]:
    return list(dict.fromkeys([*first, *second]))


def _show(value: object) -> str:
    return "" if value is None else msgspec.json.encode(value).decode()
