"""Emulate the platform, engines and plain services for tests and demos."""
