"""Header names and paths of the platform's HTTP protocol.

Header names are in lower case, as the HTTP parser returns them.
"""

from __future__ import annotations

REQUEST_ID = b'request-id'
DEADLINE_MS = b'deadline-ms'
AUTHORIZATION = b'authorization'
AUTHORIZATION_SCHEME = 'token '
# Number of prompt tokens and maximum number of output tokens, comma-separated.
TOKEN_COUNTS = b'token-usage'
PROMPT_PARTS = b'prefix-hash'
MODEL = b'model'
LAST_EVENT = b'last-event-id'
# The request id of the attempt that brought the first event of a stream.
RESUMES = b'resumes'

# Set by the entry on requests to a replica.
REPLICA_EXPECTED = b'expect-replica'
CUSTOMER = b'tenant'
# Headers that are not forwarded from callers to replicas: those that the entry
# sets itself, the caller's key, and instructions about KV cache memory and model
# versions, which only the system may give.
SYSTEM_HEADERS = frozenset(
    {
        AUTHORIZATION,
        CUSTOMER,
        DEADLINE_MS,
        LAST_EVENT,
        REPLICA_EXPECTED,
        b'expect-version',
        b'hold',
        b'kv-backup',
        b'kv-fetch',
        b'kv-from',
        b'pin-ms',
    }
)

# Set by a replica on its answers.
SIGNATURE = b'replica-signature'
NOT_EXECUTED = b'not-executed'
LEAVING = b'server-leaving'
RETRY_AFTER = b'retry-after'

READY_PATH = '/pistachiopath/readyz'
REPLICAS_PATH = '/pistachiopath/replicas/'
CONFIGURATION_PATH = '/pistachiopath/config'
ROLLOUTS_PATH = '/pistachiopath/rollouts'
