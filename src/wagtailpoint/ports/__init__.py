"""Protocols for the dependencies on the outside; ``wagtailpoint.adapters`` implements them."""
