"""Runs the operators' tool against sites in a loop of their own."""

import asyncio
import contextlib
import pathlib
import threading
from collections.abc import Iterator

from cryptography.hazmat.primitives.asymmetric import ed25519
from typer import testing

from tanagerfork import clock as clocks
from tanagerfork import daemon as daemons
from tanagerfork.bundles import signature
from tanagerfork.cli import app, key_files
from tanagerfork.generated import settings as settings_records
from tanagerfork_standins import site
from tests import sites

RUNNER = testing.CliRunner()
OFFICES = ("ipoh", "taiping")


class LoopThread:
    """A loop in a thread, for commands that run a loop of their own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run(self, work):
        """Run a coroutine there and return its value."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(sites.WAIT_TIMEOUT_S * 2)

    def close(self) -> None:
        """End the thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


class OfficeSite:
    """Stand-ins and one daemon that knows two offices' keys, without a bundle in force."""

    def __init__(self, loop: LoopThread, certificate: tuple[str, str]) -> None:
        self.loop = loop
        self.certificate = certificate
        self.stand_ins = site.Site(sites.make_plan())
        self.keys = {name: ed25519.Ed25519PrivateKey.generate() for name in OFFICES}
        self.daemon: daemons.Daemon | None = None

    @property
    def at(self) -> list[str]:
        """Words that name the daemon."""
        return ["--daemon", f"http://{sites.HOST}:{self.daemon.operators_port}"]

    async def start(self) -> None:
        """Start all."""
        await self.stand_ins.start()
        settings = sites.make_settings(self.stand_ins, self.keys["ipoh"])
        settings.operator_keys = [
            settings_records.OperatorKey(operator=name, public_key=signature.encode_public_key(key))
            for name, key in self.keys.items()
        ]
        settings.operators.certificate_path, settings.operators.private_key_path = self.certificate
        self.daemon = daemons.Daemon(settings, clocks.SystemClock())
        await self.daemon.start()

    async def stop(self) -> None:
        """Stop all."""
        await self.daemon.stop()
        await self.stand_ins.stop()

    def wait_for_version(self, version: int) -> None:
        """Wait until a bundle is in force."""
        self.loop.run(sites.wait_until(lambda: self.daemon.bundles.version == version))

    def signing(self, folder: pathlib.Path, office: str) -> list[str]:
        """Words that sign off for an office."""
        path = folder / f"{office}.pem"
        if not path.exists():
            key_files.write_private_key(path, self.keys[office], "").unwrap()
        return ["--key", str(path), "--operator", office, *self.at]


@contextlib.contextmanager
def run_loop() -> Iterator[LoopThread]:
    """Run a loop in a thread."""
    loop = LoopThread()
    try:
        yield loop
    finally:
        loop.close()


@contextlib.contextmanager
def run_offices(certificate: tuple[str, str] = ("", "")) -> Iterator[OfficeSite]:
    """Run a site of two offices, whose operators' listener has a certificate or not."""
    with run_loop() as loop:
        running = OfficeSite(loop, certificate)
        loop.run(running.start())
        try:
            yield running
        finally:
            loop.run(running.stop())


def call(*words: str, status: int = 0, **options) -> testing.Result:
    """Run the tool; its exit status must be as given."""
    ran = RUNNER.invoke(app.app, list(words), **options)
    assert ran.exit_code == status, ran.output + repr(ran.exception)
    return ran


def assert_one_line(ran: testing.Result, *parts: str) -> None:
    """Check that an error is one line on the error output that names its remedy."""
    assert ran.stdout == "" and ran.stderr.count("\n") == 1
    assert "Traceback" not in ran.stderr and ";" in ran.stderr
    for part in parts:
        assert part in ran.stderr
