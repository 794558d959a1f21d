"""Version of the package."""

__title__ = "tanagerfork"
__version__ = "0.9.2"
