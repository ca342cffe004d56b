"""Filters for headers that are forwarded by an entry."""

from tornado.httputil import HTTPHeaders

KEY_HEADER = 'Authorization'
DEADLINE_HEADER = 'Sardinemast-Deadline-S'
OUTCOME_HEADER = 'Sardinemast-Outcome'
PRIORITY_HEADER = 'Sardinemast-Priority'
IDEMPOTENCY_HEADER = 'Idempotency-Key'
_FORWARDED_FOR = 'X-Forwarded-For'
_FORWARDED_HOST = 'X-Forwarded-Host'
_OWN_PREFIX = 'sardinemast-'
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
# Set by the entry for the upstream, or meant for the entry: it answers
# ``Expect`` itself, and ``Authorization`` holds the caller's key.
_NOT_COPIED = frozenset(('host', 'content-length', 'expect', 'authorization'))
_NOT_FORWARDED = _HOP_BY_HOP | _NOT_COPIED


def filter_request_headers(
    headers: HTTPHeaders,
    remote_ip: str,
) -> HTTPHeaders:
    """Return the headers for an upstream, without the caller's key."""
    filtered = _filter(headers, _NOT_FORWARDED)
    forwarded_for = filtered.get(_FORWARDED_FOR)
    filtered[_FORWARDED_FOR] = (
        f'{forwarded_for}, {remote_ip}' if forwarded_for else remote_ip
    )
    host = headers.get('Host')
    if host and _FORWARDED_HOST not in filtered:
        filtered[_FORWARDED_HOST] = host
    return filtered


def filter_response_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers for a caller.

    ``Sardinemast-Outcome`` is removed, since only the entry may report a
    request as "not run".
    """
    return _filter(headers, _HOP_BY_HOP)


def _filter(headers: HTTPHeaders, dropped: frozenset[str]) -> HTTPHeaders:
    connection_header = headers.get('Connection', '').lower()
    # Headers listed in ``Connection`` are hop-by-hop (RFC 9110, 7.6.1).
    # Forwarded, they could change what the next hop does, unchecked here.
    hop_headers = (
        {name.strip() for name in connection_header.split(',')}
        if connection_header
        else ()
    )
    filtered = HTTPHeaders()
    for name, header in headers.get_all():
        lowered = name.lower()
        if lowered in dropped or lowered in hop_headers:
            continue
        if lowered.startswith(_OWN_PREFIX):
            continue
        if name in filtered:
            filtered.add(name, header)
        else:
            # Skips the validation in ``add``; the parser has validated the
            # value, and a second check would cost as much as the rest of this
            # function.
            filtered[name] = header
    return filtered
