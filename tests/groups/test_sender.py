"""Tests of the sender of engine orders."""

import dataclasses

import result

from tanagerfork import clock as clocks
from tanagerfork import errors, metrics
from tanagerfork.generated import engine
from tanagerfork.groups import facts, orders, sender
from tanagerfork.timeline import ring


class FakeEngines:
    """Engines that answer after a delay, and accept or refuse orders."""

    def __init__(self, clock: clocks.ManualClock, answer_ms: int = 0, accepted: bool = True):
        self.clock = clock
        self.answer_ms = answer_ms
        self.accepted = accepted
        self.received: list[str] = []

    async def send_order(
        self, vm, order
    ) -> result.Result[engine.OrderAnswer, errors.UpstreamError]:
        """Receive an order."""
        self.received.append(vm.vm)
        self.clock.advance(self.answer_ms)
        return result.Ok(engine.OrderAnswer(accepted=self.accepted, reason="old fencing number"))


def make_orders(count: int) -> tuple[list[orders.VmOrder], dict[str, facts.VmFact]]:
    """Return one order for each of several VMs, and their facts."""
    vms = {}
    for number in range(count):
        name = f"vm{number}"
        entry = engine.VmEntry(vm=name, url="", failure_domain="ipoh-a", fabric_domain="f")
        report = engine.EngineReport(vm=name, incarnation=name, sequence=1)
        vms[name] = facts.VmFact(entry, report)
    order = engine.Order(kind="leave", fencing=1)
    return [orders.VmOrder(fact.entry, order) for fact in vms.values()], vms


def make_sender(engines: FakeEngines) -> tuple[sender.OrderSender, ring.Timeline]:
    """Return a sender and its timeline."""
    timeline = ring.Timeline("d0", engines.clock, 100)
    return sender.OrderSender(engines, engines.clock, timeline, metrics.Metrics()), timeline


class TestOrderSender:
    async def test_orders_are_withheld_without_the_lease(self):
        engines = FakeEngines(clocks.ManualClock())
        chosen, vms = make_orders(3)
        await make_sender(engines)[0].send_orders(chosen, vms, lambda: len(engines.received) < 1)
        assert engines.received == ["vm0"]

    async def test_slow_engines_postpone_the_remaining_orders_to_the_next_step(self):
        engines = FakeEngines(clocks.ManualClock(), answer_ms=100)
        chosen, vms = make_orders(100)
        sending = make_sender(engines)[0]
        await sending.send_orders(chosen, vms, lambda: True)
        assert len(engines.received) == sender.MAX_CONCURRENT_ORDERS
        for _ in range(10):
            await sending.send_orders(chosen, vms, lambda: True)
        assert sorted(engines.received) == sorted(vms)  # Each once, as there was no later report.

    async def test_order_without_effect_is_repeated_after_a_later_report(self):
        engines = FakeEngines(clocks.ManualClock())
        chosen, vms = make_orders(1)
        sending = make_sender(engines)[0]
        await sending.send_orders(chosen, vms, lambda: True)
        vms["vm0"].report.sequence = 2
        await sending.send_orders(chosen, vms, lambda: True)
        assert engines.received == ["vm0", "vm0"]

    async def test_report_from_before_the_answer_shows_nothing(self):
        """A report that had been requested before the order arrived had orders sent twice."""
        engines = FakeEngines(clocks.ManualClock(), answer_ms=10)
        chosen, vms = make_orders(1)
        sending = make_sender(engines)[0]
        began_at_ms = engines.clock.monotonic_ms()
        await sending.send_orders(chosen, vms, lambda: True)
        vms["vm0"].report.sequence = 2
        for asked_after_ms, count in ((9, 1), (10, 2)):
            asked_at_ms = began_at_ms + asked_after_ms
            later = {"vm0": dataclasses.replace(vms["vm0"], reported_at_ms=asked_at_ms)}
            await sending.send_orders(chosen, later, lambda: True)
            assert len(engines.received) == count

    async def test_repeated_refusal_is_recorded_once(self):
        engines = FakeEngines(clocks.ManualClock(), accepted=False)
        chosen, vms = make_orders(1)
        sending, timeline = make_sender(engines)
        for _ in range(5):
            await sending.send_orders(chosen, vms, lambda: True)
        assert [event.kind for event in timeline.read().events] == ["order.refused"]
        assert len(engines.received) == 5
