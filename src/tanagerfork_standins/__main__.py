"""Runs the stand-ins with `python -m tanagerfork_standins`."""

from tanagerfork_standins import site

site.main()
