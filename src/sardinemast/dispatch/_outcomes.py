"""Outcomes of orders."""

from enum import StrEnum


class OrderOutcome(StrEnum):
    """Describe the outcome of an order.

    With ``refused`` the receiver answered that it did nothing. With ``gone``
    another worker answered at the address. After ``unknown`` the order may
    have been executed, or may still be executed later.
    """

    done = 'done'
    refused = 'refused'
    gone = 'gone'
    not_sent = 'not sent'
    unknown = 'unknown'
