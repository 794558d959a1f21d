"""Tests of the ledger of connections: which one is closed to make room for another."""

import random

import pytest

from tanagerfork.front import bounds, connection_ledger

Phase = connection_ledger.Phase
LATER_MS = bounds.BODY_SETTLE_MS + 1


def open_ledger(limit: int = 4) -> connection_ledger.ConnectionLedger[str]:
    return connection_ledger.ConnectionLedger(limit)


class TestPhases:
    def test_connection_keeps_its_time_while_its_phase_stays(self) -> None:
        ledger = open_ledger()
        ledger.enter("a", Phase.HEAD, 0)
        ledger.enter("a", Phase.HEAD, 50)
        assert ledger.list_older(Phase.HEAD, 10) == ["a"]
        ledger.enter("a", Phase.BODY, 60)
        assert not ledger.list_older(Phase.HEAD, 100) and ledger.list_in(Phase.BODY) == ["a"]

    def test_removed_connection_is_forgotten(self) -> None:
        ledger = open_ledger()
        ledger.enter("a", Phase.IDLE, 0)
        ledger.remove("a")
        ledger.remove("a")
        assert len(ledger) == 0 and ledger.find_phase("a") is None
        assert ledger.choose_to_close(1e9) is None


class TestRoom:
    @pytest.mark.parametrize(
        "phases, closed",
        [
            ([Phase.IDLE, Phase.NEW], "1"),
            ([Phase.IDLE, Phase.HEAD], "1"),
            ([Phase.BODY, Phase.IDLE], "1"),
            ([Phase.ANSWER, Phase.BODY], "1"),
            ([Phase.NEW, Phase.REFUSED], "1"),
            ([Phase.NEW, Phase.NEW], "0"),
            ([Phase.ANSWER, Phase.UNREAD], "1"),
            ([Phase.ANSWER, Phase.ANSWER], None),
        ],
    )
    def test_connection_that_is_missed_least_is_closed(
        self, phases: list[connection_ledger.Phase], closed: str | None
    ) -> None:
        ledger = open_ledger()
        for number, phase in enumerate(phases):
            ledger.enter(str(number), phase, number)
        assert ledger.choose_to_close(LATER_MS + len(phases)) == closed

    def test_connection_that_was_just_opened_is_closed_last(self) -> None:
        """Guards against callers that lose their place before their request arrives."""
        ledger = open_ledger()
        ledger.enter("idle", Phase.IDLE, 0)
        ledger.enter("new", Phase.NEW, LATER_MS)
        assert ledger.choose_to_close(LATER_MS) == "idle"

    def test_body_that_has_just_begun_is_not_cut_off(self) -> None:
        ledger = open_ledger()
        ledger.enter("body", Phase.BODY, 0)
        assert ledger.choose_to_close(10) is None

    def test_crowd_at_one_listener_does_not_take_the_places_of_another(self) -> None:
        table: connection_ledger.ConnectionTable[str] = connection_ledger.ConnectionTable(8)
        callers, crowded = table.open_ledger(8), table.open_ledger(8)
        ledgers = {"c": callers, "x": crowded}

        def close(name: str) -> None:
            ledgers[name[0]].remove(name)

        callers.enter("c0", Phase.IDLE, 0)
        for number in range(20):
            if table.make_room(crowded, 0, LATER_MS + number, close):
                crowded.enter(f"x{number}", Phase.NEW, number)
            assert len(callers) + len(crowded) <= 8
        assert callers.find_phase("c0") is Phase.IDLE
        assert table.make_room(callers, 0, LATER_MS, close) and len(crowded) == 6

    def test_nothing_is_closed_while_there_is_room(self) -> None:
        table: connection_ledger.ConnectionTable[str] = connection_ledger.ConnectionTable(2)
        ledger = table.open_ledger(2)
        ledger.enter("a", Phase.NEW, 0)
        assert table.make_room(ledger, 0, LATER_MS, lambda name: pytest.fail(name))

    @pytest.mark.parametrize("seed", range(20))
    def test_limits_hold_for_drawn_clients(self, seed: int) -> None:
        rng = random.Random(seed)
        table: connection_ledger.ConnectionTable[int] = connection_ledger.ConnectionTable(30)
        ledgers = [table.open_ledger(rng.randrange(5, 40)) for _ in range(3)]
        homes: dict[int, connection_ledger.ConnectionLedger[int]] = {}

        def close(number: int) -> None:
            homes.pop(number).remove(number)

        for now_ms in range(0, 20_000, 10):
            ledger = rng.choice(ledgers)
            if table.make_room(ledger, 0, now_ms, close):
                homes[now_ms] = ledger
                ledger.enter(now_ms, Phase.NEW, now_ms)
            for number in rng.sample(sorted(homes), min(2, len(homes))):
                homes[number].enter(number, rng.choice(list(Phase)), now_ms)
            if homes and rng.random() < 0.2:
                close(rng.choice(sorted(homes)))
            assert all(len(one) <= one.limit for one in ledgers)
            assert sum(map(len, ledgers)) == len(homes) <= 30


class TestPace:
    """Guards against crowds whose bytes are proper and keep the event loop from all others."""

    def test_single_client_does_not_wait(self) -> None:
        table: connection_ledger.ConnectionTable[str] = connection_ledger.ConnectionTable(8)
        assert [table.pace("a", 5000, now_ms) for now_ms in (0, 50, 100)] == [0, 0, 0]

    def test_usual_reads_never_wait(self) -> None:
        table: connection_ledger.ConnectionTable[int] = connection_ledger.ConnectionTable(8)
        assert not any(table.pace(number, 200, number) for number in range(100))

    @pytest.mark.parametrize("clients", [2, 20, 200])
    def test_crowd_of_any_size_gets_about_half_of_the_processor(self, clients: int) -> None:
        """Plays clients that are read whenever they may be, each read taking 7 ms."""
        table: connection_ledger.ConnectionTable[int] = connection_ledger.ConnectionTable(8)
        parts = round(7.0 / bounds.PART_MS)
        may_read_at_ms = dict.fromkeys(range(clients), 0.0)
        now_ms = busy_ms = 0.0
        while now_ms < 60_000:
            client = min(may_read_at_ms, key=may_read_at_ms.__getitem__)
            now_ms = max(now_ms, may_read_at_ms[client]) + 7.0
            busy_ms += 7.0 if now_ms > 10_000 else 0.0
            may_read_at_ms[client] = now_ms + table.pace(client, parts, now_ms)
        assert busy_ms < 0.75 * 50_000

    def test_clients_that_have_left_are_not_waited_for(self) -> None:
        table: connection_ledger.ConnectionTable[str] = connection_ledger.ConnectionTable(8)
        table.pace("a", 1000, 0)
        assert table.pace("b", 1000, 1) == 10.0
        table.forget("a")
        assert table.pace("b", 1000, 2) == 0.0
        table.pace("c", 1000, 3)
        assert table.pace("b", 1000, bounds.PACE_WINDOW_MS + 4) == 0.0


class TestLimits:
    @pytest.mark.parametrize(
        "descriptors, free_mb, least, most",
        [(1535, None, 1000, 1100), (1535, 178, 1000, 1035), (160, 68, 60, 120), (20, None, 16, 16)],
    )
    def test_connections_follow_from_descriptors_and_memory(
        self, descriptors: int, free_mb: int | None, least: int, most: int
    ) -> None:
        free_bytes = None if free_mb is None else free_mb * bounds.MIB
        assert least <= bounds.count_connections(descriptors, free_bytes) <= most

    def test_limit_of_the_vm_and_of_the_process_both_hold(self) -> None:
        assert bounds.find_max_descriptors(100) <= 100
        assert bounds.find_max_descriptors(0) > 100
