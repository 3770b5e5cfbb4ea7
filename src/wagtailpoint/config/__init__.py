"""The configuration: objects, checks, templates, the compiled form, its store and its watch."""
