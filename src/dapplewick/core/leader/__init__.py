"""The leader's decisions: records and statuses in, writes out; no input or output of its own."""
