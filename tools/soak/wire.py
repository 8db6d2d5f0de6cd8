"""Names of the platform's HTTP protocol, as the soak's stand-ins use them.

They are written down here a second time on purpose: a wrong name in the adapter
shows only if the other side of the connection does not share it.
"""

from __future__ import annotations

# From callers.
REQUEST_ID = 'Request-Id'
DEADLINE_MS = 'Deadline-Ms'
AUTHORIZATION = 'Authorization'
KEY_SCHEME = 'Token '
MODEL = 'Model'
TOKEN_COUNTS = 'Token-Usage'
PROMPT_PARTS = 'Prefix-Hash'
LAST_EVENT = 'Last-Event-Id'
RESUMES = 'Resumes'

# From entries to replicas.
REPLICA_EXPECTED = 'Expect-Replica'
CUSTOMER = 'Tenant'

# From replicas.
SIGNATURE = 'Replica-Signature'
NOT_EXECUTED = 'Not-Executed'
LEAVING = 'Server-Leaving'
RETRY_AFTER = 'Retry-After'

READY_PATH = '/pistachiopath/readyz'
REPLICAS_PATH = '/pistachiopath/replicas/'
CONFIGURATION_PATH = '/pistachiopath/config'

# Statuses with which an entry promises that a request has not run and will not.
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
