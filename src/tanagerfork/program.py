"""The program tanagerforkd: parses the command line and runs a daemon until a signal stops it."""

import argparse
import asyncio
import pathlib
import signal
import sys
from collections.abc import Sequence

from tanagerfork import __version__, errors, logs
from tanagerfork import clock as clocks
from tanagerfork import daemon as daemons
from tanagerfork import settings as settings_files
from tanagerfork.generated import settings as settings_records

USAGE_STATUS = 2


async def serve(settings: settings_records.Settings, embedded: pathlib.Path | None) -> None:
    """Run a daemon until SIGINT or SIGTERM; a second signal ends the drain at once.

    :param settings: checked settings.
    :param embedded: folder of an example whose stand-ins run in the same event loop, or None.
    """
    site = None
    if embedded is not None:
        from tanagerfork_standins import embedding

        site = await embedding.start_site(embedded, settings)
    daemon = daemons.Daemon(settings, clocks.SystemClock())
    await daemon.start()
    if site is not None:
        await site.roll_bundle(daemon.store)
        print(site.describe_call(daemon.callers_port), flush=True)
    stopped = asyncio.Event()

    def on_signal() -> None:
        if stopped.is_set():
            daemon.skip_drain()
        stopped.set()

    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, on_signal)
    await stopped.wait()
    await daemon.stop()
    if site is not None:
        await site.stop()


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    # The operators' tool uses typer, which takes 15 MB; a daemon is limited to 64 MB.
    parser = argparse.ArgumentParser("tanagerforkd", description="Run one daemon of tanagerfork.")
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--settings", type=pathlib.Path, required=True, help="settings file, JSON with comments"
    )
    parser.add_argument(
        "--embedded", action="store_true", help="also run the stand-ins next to the settings file"
    )
    parser.add_argument("--check-settings", action="store_true", help="check the settings and exit")
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="FIELD=VALUE",
        help="overrides the settings file, such as callers.port=8600",
    )
    return parser


def main(words: Sequence[str] | None = None) -> None:
    """Run the program.

    :param words: arguments without the program's name; None for those of the process.
    """
    arguments = make_parser().parse_args(words)
    try:
        loaded = settings_files.load_settings(arguments.settings, arguments.set)
    except errors.SettingsError as error:
        print(error.message, file=sys.stderr)
        sys.exit(USAGE_STATUS)
    if arguments.check_settings:
        print(f"{arguments.settings}: good")
        return
    logs.configure_logs(loaded.log)
    asyncio.run(serve(loaded, arguments.settings.parent if arguments.embedded else None))


if __name__ == "__main__":
    main()
