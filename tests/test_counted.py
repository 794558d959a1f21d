"""Tests of the call counts of the key-value service."""

import pytest

from tanagerfork import metrics as metric
from tanagerfork.storage import counted, key_value
from tests import fakes


class TestCounts:
    @pytest.mark.parametrize(
        ("prepare", "outcome"),
        [
            ({}, "good"),
            ({"is_away": True}, "platform_unavailable"),
            ({"lost_answers": 1}, "answer_lost"),
            ({"lost_calls": 1}, "answer_lost"),
        ],
    )
    async def test_call_is_forwarded_and_counted_by_outcome(self, prepare, outcome):
        memory, metrics = fakes.MemoryKeyValue(), metric.Metrics()
        for field, value in prepare.items():
            setattr(memory, field, value)
        store = counted.CountedKeyValue(memory, metrics)
        written = await store.swap("a", b"1", key_value.ABSENT)
        assert written.is_ok() == (outcome == "good")
        assert metrics.counter_value(counted.CALLS_METRIC, call="swap", outcome=outcome) == 1
        assert 'key_value_seconds_count{call="swap"} 1' in metrics.render()

    async def test_reads_and_watches_are_counted(self):
        memory, metrics = fakes.MemoryKeyValue(), metric.Metrics()
        store = counted.CountedKeyValue(memory, metrics)
        await store.swap("a", b"1", key_value.ABSENT)
        await store.swap("a", b"2", key_value.ABSENT)
        assert (await store.read("a")).unwrap().value == b"1"
        assert len((await store.read_prefix("")).unwrap()) == 1
        async for entry in store.watch("a", 0):
            assert entry.value == b"1"
            break
        calls = {"read": "good", "read_prefix": "good", "watch": "begun"}
        for call, outcome in calls.items():
            assert metrics.counter_value(counted.CALLS_METRIC, call=call, outcome=outcome) == 1
        assert metrics.counter_value(counted.CALLS_METRIC, call="swap", outcome="conflict") == 1
