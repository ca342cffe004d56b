"""Headers that may pass an entry, and those that may not."""

from tornado.httputil import HTTPHeaders

KEY_HEADER = 'Authorization'
DEADLINE_HEADER = 'Sardinemast-Deadline-S'
OUTCOME_HEADER = 'Sardinemast-Outcome'
PRIORITY_HEADER = 'Sardinemast-Priority'
IDEMPOTENCY_HEADER = 'Idempotency-Key'
_FORWARDED_FOR = 'X-Forwarded-For'
_FORWARDED_HOST = 'X-Forwarded-Host'
_OWN_PREFIX = 'sardinemast-'
_OF_ONE_CONNECTION = frozenset(
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
# Written anew for each hop, from what really follows. ``Expect`` is answered
# by this entry; ``Authorization`` holds the caller's key.
_REWRITTEN = frozenset(('host', 'content-length', 'expect', 'authorization'))
_NEVER_SENT_ON = _OF_ONE_CONNECTION | _REWRITTEN


def filter_request_headers(
    headers: HTTPHeaders,
    remote_ip: str,
) -> HTTPHeaders:
    """Give the headers for an upstream, without the caller's key."""
    kept = _filter(headers, _NEVER_SENT_ON)
    known = kept.get(_FORWARDED_FOR)
    kept[_FORWARDED_FOR] = f'{known}, {remote_ip}' if known else remote_ip
    host = headers.get('Host')
    if host and _FORWARDED_HOST not in kept:
        kept[_FORWARDED_HOST] = host
    return kept


def filter_answer_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Give the headers for a caller.

    An upstream that sent ``Sardinemast-Outcome`` could otherwise speak for
    the entry and call a request "not run" that it has run.
    """
    return _filter(headers, _OF_ONE_CONNECTION)


def _filter(headers: HTTPHeaders, dropped: frozenset[str]) -> HTTPHeaders:
    named = headers.get('Connection', '').lower()
    # What Connection names belongs to the hop too (RFC 9110, 7.6.1); passed
    # on, it could switch the next hop in a way that nobody here has checked.
    of_hop = {name.strip() for name in named.split(',')} if named else ()
    kept = HTTPHeaders()
    for name, header in headers.get_all():
        lowered = name.lower()
        if lowered in dropped or lowered in of_hop:
            continue
        if lowered.startswith(_OWN_PREFIX):
            continue
        if name in kept:
            kept.add(name, header)
        else:
            # The parser has checked the value; checking it again would cost
            # as much as the rest of this function.
            kept[name] = header
    return kept
