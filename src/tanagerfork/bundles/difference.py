"""Differences between two bundles, and rebasing a draft onto a newer bundle."""

import dataclasses
from collections.abc import Iterable, Mapping

import msgspec

from tanagerfork.generated import bundle as records

Item = records.Model | records.Service | records.Team
Fields = Mapping[str, object]

KIND_BY_LIST = {"models": "model", "services": "service", "teams": "team"}
POLICY_ITEM = "policy"
POLICY_FIELDS = ("name", "priorities", "placement")


@dataclasses.dataclass(slots=True, frozen=True)
class FieldChange:
    """A changed field; its values are JSON, empty where the item lacks the field."""

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
    """A field, or a whole item where `field` is empty, that both sides changed differently."""

    item: str
    field: str
    base: str
    mine: str
    theirs: str


@dataclasses.dataclass(slots=True, frozen=True)
class RebaseResult:
    """A draft rebased on the bundle in force; a conflict keeps the value of the bundle in force."""

    bundle: records.Bundle
    conflicts: tuple[Conflict, ...]


def list_changes(old: records.Bundle | None, new: records.Bundle) -> list[ItemChange]:
    """List the items that differ between two bundles.

    :param old: earlier bundle, None if there is none.
    :param new: later bundle.
    :return: one change for each item that differs.
    """
    before, after = _index_items(old), _index_items(new)
    changes: list[ItemChange] = []
    for item in _unite_keys(before, after):
        if item not in before:
            changes.append(ItemChange(item, "added", _diff_fields({}, after[item])))
        elif item not in after:
            changes.append(ItemChange(item, "removed", _diff_fields(before[item], {})))
        elif before[item] != after[item]:
            changes.append(ItemChange(item, "changed", _diff_fields(before[item], after[item])))
    return changes


def rebase(base: records.Bundle, mine: records.Bundle, theirs: records.Bundle) -> RebaseResult:
    """Apply the changes of a draft to the bundle that came in force meanwhile (three-way merge).

    :param base: bundle that the draft was made from.
    :param mine: the draft.
    :param theirs: bundle in force.
    :return: the new draft and the conflicts to resolve by hand.
    """
    base_items, own_items, new_items = _index_items(base), _index_items(mine), _index_items(theirs)
    merged: dict[str, Fields] = {}
    conflicts: list[Conflict] = []
    for item in _unite_keys(new_items, own_items):
        fields = _merge_item(
            item, base_items.get(item), own_items.get(item), new_items.get(item), conflicts
        )
        if fields is not None:
            merged[item] = fields
    return RebaseResult(_build_bundle(merged), tuple(conflicts))


def _merge_item(
    item: str, base: Fields | None, mine: Fields | None, theirs: Fields | None, conflicts: list
) -> Fields | None:
    if mine == base:
        return theirs
    if theirs in (base, mine):
        return mine
    if base is None or mine is None or theirs is None:
        conflicts.append(Conflict(item, "", _to_json(base), _to_json(mine), _to_json(theirs)))
        return theirs
    merged = dict(theirs)
    for field in mine:
        if mine[field] == base[field] or mine[field] == theirs[field]:
            continue
        if theirs[field] == base[field]:
            merged[field] = mine[field]
            continue
        values = (_to_json(side[field]) for side in (base, mine, theirs))
        conflicts.append(Conflict(item, field, *values))
    return merged


def _index_items(bundle: records.Bundle | None) -> dict[str, Fields]:
    if bundle is None:
        return {}
    policy = {field: msgspec.to_builtins(getattr(bundle, field)) for field in POLICY_FIELDS}
    items: dict[str, Fields] = {POLICY_ITEM: policy}
    for list_name, kind in KIND_BY_LIST.items():
        for record in getattr(bundle, list_name):
            items[f"{kind} {record.name}"] = msgspec.to_builtins(record)
    return items


def _build_bundle(items: Mapping[str, Fields]) -> records.Bundle:
    fields: dict[str, object] = dict(items.get(POLICY_ITEM, {}))
    for list_name, kind in KIND_BY_LIST.items():
        fields[list_name] = [
            record for item, record in items.items() if item.startswith(f"{kind} ")
        ]
    return msgspec.convert(fields, type=records.Bundle)


def _diff_fields(before: Fields, after: Fields) -> tuple[FieldChange, ...]:
    return tuple(
        FieldChange(
            field,
            _to_json(before[field]) if field in before else "",
            _to_json(after[field]) if field in after else "",
        )
        for field in _unite_keys(before, after)
        if field not in before or field not in after or before[field] != after[field]
    )


def _unite_keys(first: Iterable[str], second: Iterable[str]) -> list[str]:
    return list(dict.fromkeys([*first, *second]))


def _to_json(value: object) -> str:
    return "" if value is None else msgspec.json.encode(value).decode()
