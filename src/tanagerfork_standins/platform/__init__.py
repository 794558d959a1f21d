"""Stand-ins for the platform of the relay: metadata store, runners, and operator."""
