"""Tests of sailward, of its simulator and of the adapter."""
