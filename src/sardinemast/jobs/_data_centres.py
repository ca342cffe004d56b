"""Data centres of the fleet and which of them are evacuated."""


class DataCentres:
    """Hold the data centres that ever had a worker, and the evacuated ones."""

    def __init__(self) -> None:
        self.known: dict[str, None] = {}
        self.evacuated: dict[str, None] = {}

    def record(self, name: str) -> None:
        """Record a data centre that has a worker."""
        if name:
            self.known[name] = None

    def change(self, name: str, *, is_evacuated: bool) -> None:
        """Evacuate or readmit a data centre."""
        if is_evacuated:
            self.evacuated[name] = None
        else:
            self.evacuated.pop(name, None)

    def is_evacuated(self, name: str) -> bool:
        """Check whether nothing may be sent to a data centre."""
        return name in self.evacuated
