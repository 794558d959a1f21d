"""What slow readers hold, and what is done past each bound."""

import pytest

from tanagerfork.relay import exchange, memory

MIB = memory.MIB
SMALLEST_VM_MB = 152.0
BODY_LIMIT_BYTES = 8 * MIB


class FakeReader:
    """A caller that has taken some of the bytes written to it."""

    def __init__(self, written_bytes: int = 0, taken_bytes: int = 0) -> None:
        self.written_bytes = written_bytes
        self.taken_bytes = taken_bytes

    def measure_unread_bytes(self) -> int:
        return self.written_bytes - self.taken_bytes

    def abort(self) -> None:
        raise AssertionError("the account ends nothing itself")


def make_account(memory_mb: float = SMALLEST_VM_MB) -> memory.MemoryAccount:
    return memory.MemoryAccount(memory.make_bounds(memory_mb))


def hold(
    account: memory.MemoryAccount, response_bytes: int, reader: FakeReader | None = None
) -> memory.Holding:
    holding = account.open(reader or FakeReader())
    holding.start_gathering(0)
    holding.grow_response(response_bytes)
    return holding


class TestBounds:
    def test_unknown_memory_bounds_nothing(self) -> None:
        """Guards against refusals in deployments whose settings do not name the memory."""
        account = make_account(0)
        holding = hold(account, 500 * MIB)
        assert account.measure(0) == []
        assert (account.is_refusing(500 * MIB), holding.must_pause) == (False, False)

    def test_smallest_vm_has_room_past_the_last_bound(self) -> None:
        """Guards against bounds that leave no room for the largest body and its joined copy."""
        bounds = memory.make_bounds(SMALLEST_VM_MB)
        assert bounds is not None
        assert bounds.pause_bytes < bounds.refuse_bytes < bounds.end_bytes
        most = memory.OWN_BYTES + bounds.end_bytes + 2 * exchange.MAX_RESPONSE_BYTES
        assert most < SMALLEST_VM_MB * MIB
        assert bounds.refuse_bytes > 2 * BODY_LIMIT_BYTES

    def test_bound_is_left_only_well_below_it(self) -> None:
        """Guards against a log line and a refusal for every change around a bound."""
        bounds = memory.Bounds(100, 200, 300)
        level, seen = memory.Level.FREE, []
        for held in (99, 100, 95, 89, 205, 185, 179, 400, 0):
            level = bounds.find_level(held, level)
            seen.append(int(level))
        assert seen == [0, 1, 1, 0, 2, 2, 1, 3, 0]


class TestRefusal:
    def test_body_that_does_not_fit_is_refused_before_it_is_read(self) -> None:
        account = make_account()
        assert account.bounds is not None
        hold(account, int(account.bounds.refuse_bytes) - 4 * MIB)
        assert account.is_refusing(5 * MIB)
        assert not account.is_refusing(1 * MIB)

    def test_ended_exchange_counts_while_its_caller_has_not_read(self) -> None:
        """Guards against callers that never read the end of answers, which no request holds."""
        account = make_account()
        reader = FakeReader(60_000, 0)
        holding = hold(account, 1 * MIB, reader)
        account.measure(0)
        account.close(holding)
        assert account.held_bytes == 60_000 + 2 * memory.SOCKET_BUFFER_BYTES
        reader.taken_bytes = reader.written_bytes
        account.measure(50)
        assert (account.held_bytes, account.exchange_count) == (0, 0)


class TestHeads:
    """Guards against heads inside the limits that take a megabyte each and count as nothing."""

    def test_usual_head_is_part_of_what_every_exchange_takes(self) -> None:
        assert memory.estimate_head_bytes([("Name", "value" * 10)] * 30) == 0

    def test_short_fields_count_by_their_number_and_long_ones_by_their_size(self) -> None:
        assert memory.estimate_head_bytes([("a", "")] * 4000) > 4000 * 250
        assert memory.estimate_head_bytes([("Name", "x" * 16_000)]) > 100_000

    def test_long_heads_are_refused_past_the_second_bound_and_released_at_the_end(self) -> None:
        account = make_account()
        holdings = [account.open(FakeReader()) for _ in range(100)]
        for holding in holdings:
            holding.grow_head(MIB)
        assert account.is_refusing(0)
        for holding in holdings:
            account.close(holding)
        assert (account.held_bytes, account.is_refusing(0)) == (0, False)


class TestGathering:
    @pytest.mark.parametrize(
        "size_mb, level", [(9, memory.Level.PAUSING), (13, memory.Level.REFUSING)]
    )
    def test_one_after_the_other_grows_past_the_first_bound(
        self, size_mb: int, level: memory.Level
    ) -> None:
        """Guards against large answers that all wait for each other's memory."""
        account = make_account()
        holdings = [hold(account, size_mb * MIB) for _ in range(4)]
        assert account.level is level
        assert [one.must_pause for one in holdings] == [False, True, True, True]
        holdings[0].end_gathering()
        assert [one.must_pause for one in holdings[1:]] == [False, True, True]

    def test_none_grows_past_the_last_bound_while_a_slow_reader_can_be_ended(self) -> None:
        """Guards against 60 answers of 2 MB, which took 116 MB as each in turn was the first."""
        account = make_account()
        slow = FakeReader(100_000, 0)
        first, second = hold(account, 35 * MIB), hold(account, 35 * MIB, slow)
        assert account.level is memory.Level.ENDING
        assert [first.must_pause, second.must_pause] == [False, True]
        account.measure(0)
        assert [first.must_pause, second.must_pause] == [True, True]

    def test_small_answers_are_never_held_up(self) -> None:
        account = make_account()
        hold(account, 60 * MIB)
        assert not hold(account, memory.SMALL_BYTES).must_pause


class TestEndedReaders:
    def make_readers(self, *taken_bytes: int) -> tuple[memory.MemoryAccount, list[memory.Holding]]:
        """Return holdings of 22 MiB, of which callers took some bytes within a second."""
        account = make_account()
        readers = [FakeReader(30 * MIB, 0) for _ in taken_bytes]
        holdings = [hold(account, 22 * MIB, reader) for reader in readers]
        account.measure(0)
        for reader, taken in zip(readers, taken_bytes, strict=True):
            reader.taken_bytes = taken
        return account, holdings

    def test_slowest_is_ended_and_no_more_than_needed(self) -> None:
        account, holdings = self.make_readers(20 * MIB, 1 * MIB, 2 * MIB)
        assert account.measure(1000)[0] is holdings[1]

    def test_reader_that_is_behind_for_a_moment_is_not_slow(self) -> None:
        """Guards against the end of an answer that has just begun to be written."""
        account, _ = self.make_readers(0, 0, 0)
        assert account.measure(memory.BEHIND_MS - 1) == []

    def test_short_rest_of_a_stalled_caller_comes_after_a_long_body(self) -> None:
        account = make_account()
        hold(account, 100, FakeReader(100, 0))
        long = hold(account, 70 * MIB, FakeReader(1000, 0))
        account.measure(0)
        assert account.measure(1000) == [long]

    def test_slow_readers_that_keep_it_refusing_are_ended_one_by_one(self) -> None:
        """Guards against a daemon that refuses for ever, below the last bound."""
        account = make_account()
        holdings = [hold(account, 10 * MIB, FakeReader(100_000, 0)) for _ in range(5)]
        account.measure(0)
        assert account.level is memory.Level.REFUSING
        assert account.measure(memory.STUCK_MS - 1) == []
        ended = account.measure(memory.STUCK_MS)
        assert len(ended) == 1
        assert ended[0] in holdings

    def test_no_reader_is_ended_below_the_second_bound(self) -> None:
        account = make_account()
        hold(account, 40 * MIB, FakeReader(100_000, 0))
        assert [account.measure(now_ms) for now_ms in (0, 60_000)] == [[], []]


class TestParts:
    def test_slices_are_the_body(self) -> None:
        body = bytes(range(256)) * 1000
        parts = exchange.slice_body(body)
        assert b"".join(parts) == body
        assert max(map(len, parts)) == memory.BUFFER_BYTES
