"""Records in the state service: keys, formats, the client and the watch cache."""
