"""How controllers agree: presence, election, assignment of shards and exchange with peers."""
