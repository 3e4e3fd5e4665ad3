"""The controller process: its components, background loops and endpoints."""
