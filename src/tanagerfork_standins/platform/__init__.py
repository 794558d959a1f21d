"""Stand-ins of the users' platform: its store, its runners, its operator."""
