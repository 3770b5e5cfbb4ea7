"""The configuration: objects, validation, templates, compilation, storage and watching."""
