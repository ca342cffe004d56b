"""A first run: one daemon, three upstreams, two teams."""
