"""The daemon ``wagtailpointd``: assembles and runs one instance."""
