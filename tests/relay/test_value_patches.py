"""Large values as patches of the values that they replaced."""

import random
import tracemalloc

import msgspec
import pytest

from tanagerfork.generated import notices
from tanagerfork.relay import value_patches
from tanagerfork.storage import key_value
from tanagerfork_standins.platform import site as sites

KEY = "op/config"


def make_value(names: list[str]) -> bytes:
    return msgspec.json.encode({"routes": [sites.make_plain_route(name) for name in names]})


def know(value: bytes) -> value_patches.LargeValues:
    values = value_patches.LargeValues()
    values.record([key_value.Entry(KEY, value, 5)], [])
    return values


def make_patch(base: bytes, value: bytes) -> notices.ValuePatch:
    patch = know(base).make_patch(key_value.Entry(KEY, value, 6))
    assert patch is not None
    return patch


def measure_bytes(patch: notices.ValuePatch) -> int:
    return len(msgspec.msgpack.encode(patch))


class TestPatches:
    @pytest.mark.parametrize("seed", range(20))
    def test_any_change_leads_to_the_same_value(self, seed: int) -> None:
        rng = random.Random(seed)
        names = [f"r{index}" for index in range(100)]
        changed = [name for name in names if rng.random() > 0.1]
        for index in range(rng.randrange(5)):
            changed.insert(rng.randrange(len(changed)), f"new{index}")
        moved = changed[: rng.randrange(50)]
        rng.shuffle(moved)
        changed[: len(moved)] = moved
        if rng.random() < 0.5:
            changed += rng.sample(names, 20)
        base, value = make_value(names), make_value(changed)
        entry = know(base).apply_patch(make_patch(base, value))
        assert entry == key_value.Entry(KEY, value, 6)

    @pytest.mark.parametrize("value", [b"{" * 9000, b"x" * 9000, b"{}{}" * 3000])
    def test_values_that_are_no_lists_of_objects(self, value: bytes) -> None:
        base = make_value([f"r{index}" for index in range(100)])
        for before, after in ((base, value), (value, base), (value, value + b"{")):
            entry = know(before).apply_patch(make_patch(before, after))
            assert entry is not None and entry.value == after

    def test_one_route_more_takes_a_few_hundred_bytes(self) -> None:
        names = [f"r{index:06}" for index in range(1650)]
        patch = make_patch(make_value(names), make_value([*names[:800], "new", *names[800:]]))
        assert measure_bytes(patch) < 1000

    def test_small_and_unknown_values_are_sent_whole(self) -> None:
        base = make_value([f"r{index}" for index in range(100)])
        assert know(base).make_patch(key_value.Entry(KEY, b"{}", 6)) is None
        assert know(base).make_patch(key_value.Entry("other", base, 6)) is None
        assert know(b"{}").make_patch(key_value.Entry(KEY, base, 6)) is None


class TestApplication:
    NAMES = [f"r{index}" for index in range(100)]

    def test_value_that_is_known_already_is_kept(self) -> None:
        value = make_value([*self.NAMES, "new"])
        entry = know(value).apply_patch(make_patch(make_value(self.NAMES), value))
        assert entry == key_value.Entry(KEY, value, 6)

    def test_patch_of_another_base_is_not_applied(self) -> None:
        patch = make_patch(make_value(self.NAMES), make_value([*self.NAMES, "new"]))
        assert know(make_value(self.NAMES[1:])).apply_patch(patch) is None
        assert value_patches.LargeValues().apply_patch(patch) is None

    def test_patches_of_earlier_values_are_applied(self) -> None:
        """Two sources read a value at different times, and make patches of different ones."""
        values = [make_value([*self.NAMES, *(f"new{i}" for i in range(n))]) for n in range(6)]
        known = know(values[0])
        for revision, value in enumerate(values[1:5], start=6):
            known.record([key_value.Entry(KEY, value, revision)], [])
        for base in values[:5]:
            assert known.apply_patch(make_patch(base, values[5])) == key_value.Entry(
                KEY, values[5], 6
            )

    def test_earlier_values_are_few(self) -> None:
        known = know(make_value(self.NAMES))
        last = make_value([*self.NAMES, "last"])
        for index in range(value_patches.EARLIER_VALUES + 1):
            known.record([key_value.Entry(KEY, make_value([*self.NAMES, str(index)]), 6)], [])
        assert known.apply_patch(make_patch(make_value(self.NAMES), last)) is None

    def test_patch_that_exceeds_its_size_is_not_followed_to_its_end(self) -> None:
        base = make_value(self.NAMES)
        patch = make_patch(base, make_value([*self.NAMES, "new"]))
        patch.steps = [notices.PatchStep(start=0, count=100, added="")] * 10_000
        tracemalloc.start()
        assert know(base).apply_patch(patch) is None
        assert tracemalloc.get_traced_memory()[1] < 20 * len(base)
        tracemalloc.stop()

    def test_removed_value_is_no_base(self) -> None:
        patch = make_patch(make_value(self.NAMES), make_value([*self.NAMES, "new"]))
        values = know(make_value(self.NAMES))
        values.record([], [KEY])
        assert values.apply_patch(patch) is None

    @pytest.mark.parametrize(
        "step",
        [
            notices.PatchStep(start=0, count=10**9, added=""),
            notices.PatchStep(start=10**9, count=1, added=""),
            notices.PatchStep(start=0, count=1, added="no base64!"),
            notices.PatchStep(start=0, count=1, added=""),
        ],
    )
    def test_patch_that_does_not_lead_to_its_result_is_not_applied(
        self, step: notices.PatchStep
    ) -> None:
        base = make_value(self.NAMES)
        patch = make_patch(base, make_value([*self.NAMES, "new"]))
        patch.steps = [step]
        assert know(base).apply_patch(patch) is None
