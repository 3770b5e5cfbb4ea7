"""Which backend server a request goes to: affinity first, then load, nearness and evidence."""
