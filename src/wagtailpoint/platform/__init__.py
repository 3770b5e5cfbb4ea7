"""Translation between the users' platform and this system: settings, store, documents, headers.

The names of the platform's wire formats are used in this package only. Each document is decoded
here, once, into a type of this system with descriptive field names.
"""
