"""Which upstream runs a request."""

from sardinemast.routing._picker import UpstreamPicker

__all__ = ('UpstreamPicker',)
