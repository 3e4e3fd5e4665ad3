"""Simulations of a whole deployment in virtual time, with stand-ins for its services."""
