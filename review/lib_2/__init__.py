"""Share what the scripts of the second review need."""
