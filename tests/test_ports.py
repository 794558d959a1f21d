"""Tests of opening a listener whose port another process holds."""

import errno

import pynng
import pytest

from tanagerfork import clock as clocks
from tanagerfork import errors, ports

TAKEN = OSError(errno.EADDRINUSE, "address already in use")
ADDRESS = "127.0.0.1:8227"


class SkippingClock(clocks.ManualClock):
    """A clock whose sleeps take no time."""

    async def sleep_ms(self, duration_ms: float) -> None:
        self.advance(int(duration_ms))


class FakeListener:
    """A listener whose first attempts fail."""

    def __init__(self, *failures: Exception) -> None:
        self.failures = list(failures)
        self.attempts = 0

    async def listen(self) -> int:
        self.attempts += 1
        if self.failures:
            raise self.failures.pop(0)
        return 8227


class TestOpenPort:
    @pytest.mark.parametrize("failure", [TAKEN, pynng.AddressInUse("", 10)])
    async def test_port_that_is_released_is_opened(self, failure):
        listener, reasons = FakeListener(failure, failure), []
        clock = SkippingClock()
        assert await ports.open_port(ADDRESS, listener.listen, clock, reasons.append) == 8227
        assert listener.attempts == 3 and len(reasons) == 1

    async def test_port_that_stays_taken_is_a_typed_error(self):
        listener, clock = FakeListener(*[TAKEN] * 1000), SkippingClock()
        with pytest.raises(errors.SettingsError, match=ADDRESS):
            await ports.open_port(ADDRESS, listener.listen, clock, lambda reason: None)
        assert clock.monotonic_ms() <= ports.PORT_WAIT_MS + ports.PORT_RETRY_INTERVAL_MS

    async def test_address_of_another_host_is_an_error_at_once(self):
        listener = FakeListener(OSError(errno.EADDRNOTAVAIL, "cannot assign address"))
        with pytest.raises(errors.SettingsError, match="another"):
            await ports.open_port(
                ADDRESS, listener.listen, clocks.ManualClock(), lambda reason: None
            )
        assert listener.attempts == 1
