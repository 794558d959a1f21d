"""Tests of the location of claims and of the preferred writers of shards."""

import uuid

import pytest

from tanagerfork.claims import keys, owner


class TestLocateKey:
    def test_time_ordered_key_contains_its_time(self):
        key = keys.make_timed_key(1_800_000_000_123, (1 << 74) - 1)
        assert uuid.UUID(key).version == 7
        assert keys.parse_created_at_ms(key) == 1_800_000_000_123
        assert keys.parse_created_at_ms(key.upper()) == 1_800_000_000_123

    @pytest.mark.parametrize("key", ["lot-7", "", "é", str(uuid.UUID(int=4 << 76)), "9" * 256])
    def test_other_key_has_no_time(self, key):
        assert keys.parse_created_at_ms(key) is None
        assert keys.locate_key("team", key).shard.startswith(keys.PLAIN_PREFIX)

    def test_buckets_sort_by_time(self):
        names = [
            keys.name_bucket(time_ms)
            for time_ms in (0, keys.BUCKET_MS - 1, keys.BUCKET_MS, 1 << 47)
        ]
        assert names == sorted(names) and names[0] == names[1] != names[2]


class TestChooseOwner:
    def test_only_the_shards_of_a_removed_daemon_move(self):
        names = [f"daemon-{number}" for number in range(20)]
        shards = [f"shard-{number}" for number in range(400)]
        before = {shard: owner.choose_owner(shard, names) for shard in shards}
        after = {shard: owner.choose_owner(shard, names[1:]) for shard in shards}
        assert all(after[shard] == before[shard] for shard in shards if before[shard] != names[0])
        assert len(set(before.values())) == 20
        assert owner.choose_owner("shard", []) is None
