"""Demo of one daemon with three upstreams and two teams."""
