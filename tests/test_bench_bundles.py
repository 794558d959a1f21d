"""Tests of the cost of a bundle change in the benchmark, on a virtual clock."""

import pytest
from bench import bundles

MAX_IDLE_BYTES_PER_S = 2_000


class TestOneChange:
    @pytest.mark.parametrize("size", bundles.SIZES)
    def test_only_the_changed_part_is_fetched(self, size):
        costs = bundles.measure(size, 20)
        assert costs.reads < 1.5
        assert costs.changed_bytes < 10_000
        assert costs.idle_bytes < MAX_IDLE_BYTES_PER_S
        assert costs.idle_reads * 2_600 < 100  # Reads per second of 2,600 daemons.
