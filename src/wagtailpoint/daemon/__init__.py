"""The daemon wagtailpointd: one instance, wired together."""
