"""Test arbutusbay and the emulator."""
