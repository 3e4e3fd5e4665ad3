"""Partitions of zones: each reserves machines of a zone for some teams.

Machines are moved between the partitions of a zone while work runs.

Scripts, records, messages and operators' commands call partitions "shares". Controllers import this
package only if partitions are configured, or if shards or transfers of partitions still exist.
"""
