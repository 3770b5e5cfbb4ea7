"""Translation between the users' platform and the product: settings, store, documents, headers.

Nothing outside this package knows a name of the platform's wire. Each document is decoded once,
here, into a type of the product whose fields say what they hold.
"""
