"""Header names of the platform, and who may set them."""

REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"
CREDENTIAL = "Credential"
CUSTOMER = "Tenant"
SIGNATURE = "Server-Stamp"
EXPECTED_TARGET = "Expect-Instance"
NOT_RUN = "Not-Executed"
RETRY_AFTER = "Retry-After"
LEAVING = "Server-Leaving"  # the target takes no new work
RATE = "Server-Limit"  # requests a second that the target takes from all callers
LAST_EVENT = "Last-Event-Id"
MODEL = "Model"
TOKEN_COUNT = "Token-Count"  # tokens of the prompt and most tokens of the output
PREFIX_PARTS = "Prefix-Hash"  # id and tokens of each part of the prompt
LENGTH_HINT = "Length-Hint"
PRIORITY = "Request-Priority"
BACKUP = "Kv-Backup"  # engine that gets a running copy
COPY_SOURCE = "Kv-From"  # copy that a run goes on from
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
"""Headers that concern one connection only; the length is set anew."""

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
"""Headers that only this system sets: a caller's are taken off, or it could
take on another customer's name or reach another run's memory."""
