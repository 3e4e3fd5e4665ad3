"""The leader's planning, without I/O: derives writes from stored records and shard statuses."""
