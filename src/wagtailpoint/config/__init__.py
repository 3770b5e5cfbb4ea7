"""The configuration: objects, checks, templates and the compiled form."""
