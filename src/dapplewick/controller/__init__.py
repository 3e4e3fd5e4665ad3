"""One controller process: its loops, its HTTP interfaces and how they are joined."""
