"""Connections: HTTP as server and client, messages between controllers, and accepting."""
