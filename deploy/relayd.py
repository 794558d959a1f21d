"""Starts the relay daemon from a checkout with its dependencies installed in target/deps."""

import signal

# The default action of SIGHUP (reload settings) would end the process before the daemon installs
# its handler. Ignoring it until then loses nothing: the start reads the current settings anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402

# aiohttp loads the system's CA certificates on import, which takes a quarter of the startup time.
# They are not needed: the platform's store, upstreams and callers use plain HTTP.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from tanagerfork.relay import program  # noqa: E402

program.main()
