"""HTTP header names of the platform, and which of them are not forwarded."""

REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"  # remaining time that the caller waits
CREDENTIAL = "Credential"
CUSTOMER = "Tenant"
SIGNATURE = "Server-Stamp"
EXPECTED_TARGET = "Expect-Instance"
NOT_RUN = "Not-Executed"  # present if the request did not run
RETRY_AFTER = "Retry-After"  # seconds, possibly with a fraction
LEAVING = "Server-Leaving"  # the target accepts no new requests
BRITTLE = "Server-Brittle"  # rejections a second that the target bears
RATE = "Server-Limit"  # requests a second that the target accepts from all entries
LAST_EVENT = "Last-Event-Id"
RESUMES = "Resumes"  # id of the caller's attempt that brought the first event
MODEL = "Model"
TOKEN_COUNT = "Token-Count"  # tokens of the prompt, and maximum tokens of the output
PREFIX_PARTS = "Prefix-Hash"  # id and token count of each part of the prompt
LENGTH_HINT = "Length-Hint"
PRIORITY = "Request-Priority"
BACKUP = "Kv-Backup"  # engine that receives a running backup
COPY_SOURCE = "Kv-From"  # copy from which a run is resumed
KEEP_RUN = "Pin-Ms"  # how long a complete run is kept in the engine's memory
EXPECTED_VERSION = "Expect-Version"

# Headers between entries, which the platform does not know.
RELAY_WAITED = "Figstep-Waited-Ms"  # time since the caller first sent the request
RELAY_LOST_RUNS = "Figstep-Lost-Runs"  # attempts at targets that may have run
RELAY_VERSION = "Figstep-Stream-Version"  # software version that began the stream
RELAY_AT_ONCE = "Figstep-At-Once"  # the other entry must not let it wait

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
"""Names, in lower case, of headers that apply to a single connection, and of the
length, which is set again for each message. They are not forwarded."""

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
        KEEP_RUN,
        "Hold",
        "Kv-Fetch",
        RELAY_WAITED,
        RELAY_LOST_RUNS,
        RELAY_VERSION,
        RELAY_AT_ONCE,
    )
)
"""Names, in lower case, of headers that are not forwarded from callers' requests. The
entry sets some of them itself; a caller could otherwise pose as another customer or
reach the memory of another run."""
