"""Which rules a request falls under: virtual hosts, path prefixes, weighted splits."""
