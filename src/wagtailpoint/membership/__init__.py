"""Which instances there are, and what they know: heartbeats and gossip."""
