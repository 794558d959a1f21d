"""The timeline of events: recording, merging and export."""
