"""Property tests: state machines over the pure decisions."""
