"""Tests of relaying on the users' platform."""
