"""Small programs that stand for what is outside the system."""
