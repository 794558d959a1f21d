"""Version of the package."""

__title__ = "tanagerfork"
__version__ = "0.8.0"
