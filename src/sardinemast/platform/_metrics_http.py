"""HTTP handler of the metrics address."""

from http import HTTPStatus

from tornado.httputil import HTTPServerRequest

from sardinemast.metrics import ProcessMetrics
from sardinemast.platform._http_server import HttpResponse

_PATH = '/metrics'


class MetricsHandler:
    """Serve the metrics of this process."""

    def __init__(self, metrics: ProcessMetrics) -> None:
        self._metrics = metrics

    async def handle(self, request: HTTPServerRequest) -> HttpResponse:
        """Return the metrics, or 404 for any other path."""
        if request.path != _PATH:
            return HttpResponse(HTTPStatus.NOT_FOUND)
        body = self._metrics.render()
        return HttpResponse(HTTPStatus.OK, body, content_type='text/plain')
