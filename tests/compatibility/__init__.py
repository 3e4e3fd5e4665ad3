"""Tests of stored and sent formats, and of clusters that run several versions."""
