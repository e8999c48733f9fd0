"""Test single modules without starting processes."""
