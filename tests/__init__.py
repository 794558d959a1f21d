"""Tests of tanagerfork and of its stand-ins."""
