"""How orders end."""

from enum import StrEnum


class OrderOutcome(StrEnum):
    """Tell what became of an order to a worker.

    ``refused`` is a whole answer that says that nothing was done, and
    ``gone`` the word of another worker at the address. After ``unknown`` the
    order may have been carried out, or may be yet.
    """

    done = 'done'
    refused = 'refused'
    gone = 'gone'
    not_sent = 'not sent'
    unknown = 'unknown'
