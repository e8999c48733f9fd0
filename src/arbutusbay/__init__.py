"""Route language-model requests that share long prompt prefixes."""
