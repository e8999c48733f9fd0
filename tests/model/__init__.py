"""Check models of the core protocols with a model checker."""
