"""HTTP header names of the platform, and which of them are not forwarded."""

REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"
CREDENTIAL = "Credential"
CUSTOMER = "Tenant"
SIGNATURE = "Server-Stamp"
EXPECTED_TARGET = "Expect-Instance"
NOT_RUN = "Not-Executed"
RETRY_AFTER = "Retry-After"
LEAVING = "Server-Leaving"  # the target accepts no new requests
RATE = "Server-Limit"  # requests a second that the target accepts from all callers
LAST_EVENT = "Last-Event-Id"
MODEL = "Model"
TOKEN_COUNT = "Token-Count"  # tokens of the prompt, and maximum tokens of the output
PREFIX_PARTS = "Prefix-Hash"  # id and token count of each part of the prompt
LENGTH_HINT = "Length-Hint"
PRIORITY = "Request-Priority"
BACKUP = "Kv-Backup"  # engine that receives a running backup
COPY_SOURCE = "Kv-From"  # copy from which a run is resumed
EXPECTED_VERSION = "Expect-Version"

CONNECTION_HEADERS = frozenset(
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
        "expect",
        "content-length",
    }
)
"""Headers that apply to a single connection, and the length, which is set again for
each message. They are not forwarded; names are in lower case."""

SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        CREDENTIAL,
        CUSTOMER,
        EXPECTED_TARGET,
        DEADLINE,
        PRIORITY,
        BACKUP,
        COPY_SOURCE,
        EXPECTED_VERSION,
        LAST_EVENT,
        "Pin-Ms",
        "Hold",
        "Kv-Fetch",
    )
)
"""Headers that only this system sets, in lower case. They are removed from callers'
requests: a caller could otherwise pose as another customer or reach the memory of
another run."""
