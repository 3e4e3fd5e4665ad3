"""Coordination of controllers: presence, election, shard assignment and gossip with peers."""
