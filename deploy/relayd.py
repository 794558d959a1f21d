"""Starts the relaying daemon from a checkout whose libraries are below target/deps."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from tanagerfork.relay import program  # noqa: E402

program.main()
