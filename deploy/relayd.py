"""Starts the relaying daemon from a checkout whose libraries are below target/deps."""

import signal

# New settings are read at the start anyway; the signal that tells of them would end the process
# until the daemon handles it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402

# aiohttp reads the system's certificates when it is imported, which takes a quarter of the start;
# the platform's store, upstreams and callers speak plain HTTP.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from tanagerfork.relay import program  # noqa: E402

program.main()
