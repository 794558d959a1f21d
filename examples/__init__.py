"""Example sets and the demonstration of the main job."""
