"""Tests of tanagerfork and its stand-ins."""
