"""Scheduler of one shard: its machines and the tasks assigned to it."""
