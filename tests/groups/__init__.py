"""Tests of the groups."""
