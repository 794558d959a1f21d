"""The relay daemon's program: reads the settings and runs until it receives a signal."""

import asyncio
import logging
import pathlib
import signal
import sys

import msgspec

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors
from tanagerfork import settings as settings_files
from tanagerfork.generated import relay as settings_records
from tanagerfork.platform import environment
from tanagerfork.relay import daemon as daemons

USAGE_STATUS = 2
STANDARD_OUTPUT = 1


async def serve(
    settings: settings_records.RelaySettings, path: pathlib.Path, writer: decisions.Writer
) -> None:
    """Run a daemon until SIGINT or SIGTERM; SIGHUP reads the settings again.

    :param settings: validated settings.
    :param path: file that the settings were read from.
    :param writer: writes the decision log.
    """
    daemon = daemons.RelayDaemon(settings, clocks.SystemClock(), writer)
    logging.basicConfig(handlers=[decisions.LibraryLines(daemon.log)], force=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload, path)
    await daemon.start()
    await stopped.wait()
    await daemon.stop()


def main() -> None:
    """Load the settings and run the daemon; exit with 2 if they are invalid or a port is taken."""
    path = environment.find_settings()
    try:
        loaded = settings_files.load_record(path, settings_records.RelaySettings)
        asyncio.run(serve(loaded, path, decisions.DescriptorWriter(STANDARD_OUTPUT)))
    except errors.SettingsError as error:
        print(msgspec.json.encode({"logger": "relay.program", "error": error.message}).decode())
        sys.exit(USAGE_STATUS)


if __name__ == "__main__":
    main()
