"""Serving system for models whose replicas span several VMs."""

from tanagerfork.__version__ import __version__
from tanagerfork.errors import TanagerforkError

__all__ = ["TanagerforkError", "__version__"]
