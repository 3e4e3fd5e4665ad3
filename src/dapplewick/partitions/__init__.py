"""Shares of zones: machines that are kept for some teams, and change hands while work runs.

Nothing of this package is imported where shares are switched off and none is left.
"""
