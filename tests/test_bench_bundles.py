"""What a change of a bundle may cost, on explicit time."""

import pytest
from bench import bundles

BYTES_PER_S = 2_000


class TestOneChange:
    @pytest.mark.parametrize("size", bundles.SIZES)
    def test_only_the_changed_part_is_fetched(self, size):
        seen = bundles.measure(size, 20)
        assert seen.reads < 1.5
        assert seen.changed_bytes < 10_000
        assert seen.idle_bytes < BYTES_PER_S
        assert seen.idle_reads * 2_600 < 100
