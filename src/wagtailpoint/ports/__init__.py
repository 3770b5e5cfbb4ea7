"""What the decisions need from outside, as protocols; ``wagtailpoint.adapters`` implements them."""
