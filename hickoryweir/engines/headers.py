"""Names of the HTTP headers between routers and backend servers.

See ``docs/peers.md`` for their meaning.
"""

REQUEST_ID = "X-Request-Id"
PRIORITY = "X-Priority"
NOT_RUN = "X-Not-Run"
RESUMED_FROM = "X-Resumed-From"
IDEMPOTENCY_KEY = "Idempotency-Key"
TRUE = "true"
# Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
