"""Relays any HTTP request to plain upstreams and groups, by the rules in force."""
