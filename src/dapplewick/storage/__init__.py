"""Records in the state service: their keys and formats, the client and the watch cache."""
