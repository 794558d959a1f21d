"""What the platform gives a process at its start."""

import os
import pathlib

SETTINGS_VARIABLE = "TANAGERFORK_SETTINGS"  # Path of the settings, in the format of our template.


def find_settings() -> pathlib.Path:
    """Return the path of the settings file."""
    return pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
