"""Partitions of zones: machines reserved for some teams, which are moved while work runs.

Scripts, records, messages and operators' commands call partitions "shares". Controllers import this
package only if partitions are configured, or if shards or transfers of partitions still exist.
"""
