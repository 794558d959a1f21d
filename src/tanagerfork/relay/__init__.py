"""Relays HTTP requests to plain upstreams and to groups, by the configuration in force."""
