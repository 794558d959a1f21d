"""Environment variables that the platform sets for a process."""

import os
import pathlib

SETTINGS_VARIABLE = "TANAGERFORK_SETTINGS"  # Path of the relay's settings file.


def find_settings() -> pathlib.Path:
    """Return the path of the settings file that the environment names."""
    return pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
