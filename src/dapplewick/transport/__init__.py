"""Network transport: HTTP server and client, peer messages and the accept loop."""
