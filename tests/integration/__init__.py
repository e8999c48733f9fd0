"""Test daemons that run as separate processes."""
