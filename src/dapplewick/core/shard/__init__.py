"""The scheduler of one shard: its machines, and the tasks that are assigned to them."""
