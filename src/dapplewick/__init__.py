"""dapplewick: a cluster scheduler for gangs and arrays on rented machines."""

__version__ = "0.1.0"
