"""Gossip, requests and state exchange between daemons."""
