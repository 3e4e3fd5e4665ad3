"""dapplewick: a cluster scheduler for gangs and array jobs on rented machines."""

__version__ = "0.1.0"
