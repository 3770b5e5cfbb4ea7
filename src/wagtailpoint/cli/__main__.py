"""Runs the program ``wagtailpoint`` for ``python -m wagtailpoint.cli``."""

from wagtailpoint.cli.main import main

main()
