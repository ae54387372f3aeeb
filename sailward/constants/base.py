"""Constants of the controllers, proxies and directories, each with its unit, meaning and reason."""

TICK_INTERVAL = 0.05
"""Seconds between checks of an owner's timers: far below the shortest timer (0.25 s), and cheap when idle."""

LEASE_DURATION = 2.0
"""Seconds, counted from the request. A proxy that is cut off stops acting before the 2.5 s that the rules allow."""
LEASE_REQUEST_INTERVAL = 0.4
"""Seconds between lease requests. Four fit into a lease, so three may be lost in a row."""
REGISTER_READ_DELAY = 0.15
"""Seconds that a proxy waits for a newer value to be pushed before it reads the register itself."""

ROUND_TIMEOUT = 0.3
"""Seconds. A quorum round that has not finished by then is sent again under a higher ballot."""
ROUND_TIMEOUT_PER_BYTE = 1e-6
"""Seconds added to the time-out of a round for each byte of the value: 1 MB takes about half of that between two
regions."""
PROPOSER_BACKOFF = 0.04
"""Seconds, times a random factor and the number of attempts. Lets one of two competing proposers finish."""
OPERATION_TIMEOUT = 3.0
"""Seconds. An operator's change that is not settled by then is refused, or its outcome is unknown."""
CLAIM_TIMEOUT = 1.0
"""Seconds that an exchange that isn't repeatable waits for its claim at most: clients tolerate this much, and a longer
wait would count as holding the exchange."""
CLAIM_TTL = 1800.0
"""Seconds that an idempotency key is remembered after its claim: 100,000 keys at the larger of today's sizes, each 1.06
kB of memory and 0.28 kB of disk. A later repeat may run again, unless its key carries its time."""
KEY_MAX_CLOCK_SKEW = 10.0
"""Seconds that a client's clock may be ahead of the controllers' clocks: a key from further ahead would outlive its
claim."""
KEY_EXPIRY_MARGIN = 60.0
"""Seconds before the end of a claim's life from which a key that carries its time is rejected as too old:
KEY_MAX_CLOCK_SKEW and the spread of the clocks."""
CLOCK_SAMPLE_TTL = 30.0
"""Seconds for which a controller's clock counts after it was last reported. Clocks run at one rate, so only jumps make
the offset wrong."""
CLAIM_SWEEP_INTERVAL = 10.0
"""Seconds between sweeps of claims that are older than CLAIM_TTL."""
REGISTER_HISTORY_LENGTH = 8
"""Number of earlier changes that a register lists, so that a proposer finds its own among them."""

PUSH_RETRY_INTERVAL = 0.3
"""Seconds after which an unacknowledged push is sent again."""
SUBSCRIBER_TTL = 2.0
"""Seconds. A proxy that has not asked for a lease for the length of one lease no longer counts as subscribed."""

GOSSIP_INTERVAL = 0.5
"""Seconds between heartbeats, in which the peer table is sent to each watched daemon."""
GOSSIP_FANOUT = 3
"""Number of daemons that rendezvous hashing selects for each daemon: one may be lost and one cut off."""
HEARTBEAT_TIMEOUT = 2.5
"""Seconds without a newer heartbeat after which a daemon counts as lost."""
PEER_TTL = 60.0
"""Seconds without a newer heartbeat after which a daemon is forgotten: longer than a restart."""

ENDPOINT_LIST_INTERVAL = 0.5
"""Seconds between passes over the platform's list: leaves 2 s of the 2.5 s for the push and for draining."""
ENDPOINT_LIST_PAGE_SIZE = 20
"""Number of workers requested in one page."""
ENDPOINT_LIST_PAGE_TIMEOUT = 1.0
"""Seconds. A page that takes longer fails the pass."""

PROBE_INTERVAL = 1.0
"""Seconds between probes of a worker in good status."""
PROBE_IN_DOUBT_INTERVAL = 0.25
"""Seconds between probes of a worker in doubt: a crash is confirmed in about half a second."""
PROBE_TIMEOUT = 0.5
"""Seconds. A probe without a result by then has failed."""

ZONE_SPILL_THRESHOLD = 0.70
"""Healthy fraction below which a zone's load spills over to others (as failoverHealthThreshold of Google Cloud's load
balancing policy)."""
ZONE_DRAIN_THRESHOLD = 0.25
"""Healthy fraction below which a zone is drained (as autoCapacityDrain of Google Cloud's load balancing policy)."""
ZONE_RESTORE_THRESHOLD = 0.35
"""Healthy fraction from which the hold-down of a drained zone runs."""
ZONE_HOLD_DOWN = 60.0
"""Seconds that a drained zone stays at ZONE_RESTORE_THRESHOLD or above before it takes load again (as with
autoCapacityDrain)."""
MAX_DRAINED_ZONES_RATIO = 0.50
"""Fraction of a pool's non-empty zones that may be drained at once (as with autoCapacityDrain)."""
SELF_SUSPICION_RATIO = 0.5
"""Fraction of all zones that are down in one proxy's view alone from which that proxy suspects itself."""
HEALTH_REPORT_TTL = 2.0
"""Seconds. A proxy's digest that is older does not count in the aggregated view, nor does a controller's view at a
proxy."""

ZONE_HEALTH_INTERVAL = 0.25
"""Seconds between evaluations of zone health when nothing happens: a hold-down ends by time alone."""
HEALTH_AGGREGATION_INTERVAL = 0.2
"""Seconds between aggregations of the proxies' digests: half of the interval of their lease requests."""
MAX_CONCURRENT_SLOT_MOVES = 8
"""Number of slots of one service closed at a time for moves that nothing forces."""
SLOT_MOVE_MARGIN = 0.3
"""Seconds beyond a lease and an expiry before a closed slot opens, for timers and the owners' steps."""
SLOT_OWNER_GRACE = 1.5
"""Seconds that a slot's owner may be unhealthy before its slots move: a move closes them for longer."""
PROXY_ACTIVITY_TTL = 9.0
"""Seconds for which a controller reports a proxy after its last request: the longest expiry (5 s), a lease, and the
time to report."""
PROXY_ACTIVITY_HEARTBEATS = 19
"""Number of heartbeats (each GOSSIP_INTERVAL) after a controller's start before its report on the proxies is complete:
longer than PROXY_ACTIVITY_TTL."""
SLOT_ASSIGNMENT_INTERVAL = 0.25
"""Seconds between checks of the slot assignment."""
MAX_OPEN_EXCHANGES = 128
"""Number of exchanges that a proxy has open at workers; more wait in a queue."""
TENANT_QUEUE_LENGTH = 64
"""Number of exchanges that may wait for one tenant; more are refused at once."""
QUEUE_TIMEOUT = 0.5
"""Seconds that an exchange may be queued before it is refused, so that it is never held."""
DEFAULT_SERVICE_TIMEOUT = 3.0
"""Seconds that an exchange may take at a worker, where its service does not say."""
RETRY_BUDGET_RATIO = 0.15
"""Fraction of the first attempts in RETRY_BUDGET_WINDOW that may be retried: with the clients' own retries this stays
under the fifth that the rules allow."""
CLAIM_LOOKUP_RATIO = 1.0
"""Fraction of the first attempts in RETRY_BUDGET_WINDOW for which repeats of exchanges that aren't repeatable may look
up their claim: this reaches the controllers only, no worker."""
RETRY_BUDGET_WINDOW = 10.0
"""Seconds: the window that the rules name."""
RETRY_BUDGET_MINIMUM = 2
"""Number of retries that are always allowed in a window, so that a proxy with little traffic can still retry."""
RETRY_CREDIT_TTL = 15.0
"""Seconds in which a client's repeat may replace a first attempt that was refused and reached no worker."""
MAX_ATTEMPTS = 2
"""Number of times that one exchange is sent to workers at most."""
RETRY_AFTER = 1
"""Seconds that a refusal asks the client to wait: half a lease, one probe interval."""
DEFAULT_WORKER_RATE = 200.0
"""Exchanges per second: default limit of one worker over all pools and proxies."""
SLOW_START_RATE = 5.0
"""Exchanges per second: default initial limit of a worker in slow start over all proxies."""
SLOW_START_RAMP = 20.0
"""Seconds in which the limit of a worker in slow start grows to its full value."""
RATE_LIMIT_UTILIZATION = 0.9
"""Fraction of its share of a rate limit that a proxy uses, as the count of proxies lags."""
RATE_LIMIT_BURST = 0.25
"""Seconds of its rate that a worker's rate limit admits at once."""
HOT_KEY_SHARE = 0.5
"""Fraction of its worker's limit that one key of a sharded service may use: the rest is for the worker's other keys."""

MAX_HEAD_BYTES = 16 << 10
"""Bytes of a client's request line and headers, where the operators' configuration does not say."""
HEAD_TIMEOUT = 3.0
"""Seconds in which a client's request line and headers must be complete, where the operators' configuration does not
say."""
MAX_BODY_BYTES = 1 << 20
"""Bytes of a client's request body; a longer one is answered 413."""
MAX_RESULT_BYTES = 4 << 20
"""Bytes of a worker's result; a longer one becomes 502, as results are read whole before a byte is forwarded."""
MAX_CONFIG_BYTES = 1 << 20
"""Bytes of a configuration; a longer one is answered 413."""
MAX_JSON_DEPTH = 64
"""Levels of nesting in JSON from outside: several times what a configuration has, and far from the interpreter's
limit."""
MAX_REFUSAL_REASON_LENGTH = 200
"""Characters of the reason that a log line and an answer give for input that can't be read."""
MAX_JSON_DIGITS = 18
"""Digits of an integer in JSON from outside: what fits into 64 bits."""
RESULT_CACHE_BYTES = 64 << 20
"""Bytes of results that a proxy keeps for repeats."""
RESULT_REPLICA_CACHE_BYTES = 64 << 20
"""Bytes of other proxies' results of which a proxy keeps replicas: the claims of the specified load (900 s of 40/s of 1
kB) are 36 MB."""
VERSIONS_WITHOUT_REPLICAS = ("0.1.0",)
"""Versions of proxies that do not know the replica message, and would close the connection when they receive one."""
MAX_REPLICATED_RESULT_BYTES = 256 << 10
"""Bytes of a result that is replicated; a larger one would delay the messages behind it."""
MAX_FRAME_BYTES = 8 << 20
"""Bytes of one message between processes; a longer one closes the connection."""
SEND_QUEUE_LENGTH = 2000
"""Number of messages queued for one peer; more are dropped, as in a partition."""
CONNECT_TIMEOUT = 0.5
"""Seconds for a connection between sailward's processes to open."""
CONNECT_BACKOFF = 0.25
"""Seconds between attempts to connect to a peer that can't be reached."""

STOP_GRACE = 5.0
"""Seconds in which a stopping proxy finishes the exchanges that it accepted: within the platform's 6 s."""
DEREGISTRATION_DELAY = 2.0
"""Seconds that a stopping proxy still serves, until the directories have stopped listing it."""
WSGI_RESPONSE_TIMEOUT = 30.0
"""Seconds that an HTTP thread waits for its owner: far beyond every expiry, so only a fault reaches it."""
CLIENT_DISCONNECT_CHECK_INTERVAL = 0.2
"""Seconds between checks whether a client that waits for its response has disconnected. Most responses come before
the first check. It is well under the half second after which no attempt may still run for a client that has
disconnected."""
FLUSH_TIMEOUT = 0.5
"""Seconds that an ending process allows for its last responses to be written."""
HTTP_CLIENT_IDLE_TIMEOUT = 10
"""Seconds that an idle connection to a worker is kept."""
HTTP_SERVER_THREADS = 256
"""Number of connections that one process serves over HTTP at once."""
HTTP_CLIENT_THREADS = 160
"""Number of calls that one process makes over HTTP at once: MAX_OPEN_EXCHANGES and the probes."""
HTTP_SERVER_IDLE_TIMEOUT = 15.0
"""Seconds that an idle client connection is kept open."""

REWRITE_MIN_RECORDS = 20000
"""Records. A data file with fewer is never rewritten."""
REWRITE_FACTOR = 3
"""Ratio of a data file's records, or bytes, to its live ones from which it is rewritten."""
REWRITE_THRESHOLD_BYTES = 4 << 20
"""Bytes. A longer data file is rewritten, unless most of it is live: some 30 changes of a 350-route configuration."""
RECORD_OVERHEAD_BYTES = 200
"""Bytes that a record takes besides its value's text: names, ballot, change ids."""
DISK_RESERVE_BYTES = 8 << 20
"""Bytes reserved on the disk, released to make room for a rewrite when it is full."""
EVENT_JOURNAL_LENGTH = 512
"""Number of events that a process keeps of those its owner received; logged if the owner ends by a fault."""

RECOVERY_NUMBER_GAP = 1_000_000
"""Numbers of the voters register that a disaster recovery skips: more changes than the old set can have made unseen."""
RECOVERY_NUMBER_LOCATIONS = 500
"""Number of locations in that gap: recoveries on both sides of a partition get different numbers, 1000 changes
apart."""
VOTER_REPLACEMENT_DELAY = 20.0
"""Seconds that a voter must be lost before a waiting empty controller replaces it: longer than a rolling restart of its
machine."""
COPY_RETRY_INTERVAL = 0.5
"""Seconds after which a page of a copy that has not arrived is requested again."""
COPY_PAGE_SLOTS = 200
"""Number of slots in one page of a copy: about 60 kB."""
REPAIR_INTERVAL = 1.0
"""Seconds between checks whether a voter must be replaced."""
REGISTER_READ_INTERVAL = 5.0
"""Seconds between a controller's own reads of the control registers, which find what it missed."""
STALLED_VOTE_TIMEOUT = 0.5
"""Seconds that a vote may stay undecided before a controller reads the register, and so completes or refutes it."""
SLOW_START_REPORT_DURATION = 3.0
"""Seconds after a proxy's first request during which it is told how long workers have been warm."""
NONCE_BYTES = 6
"""Number of bytes that distinguish one start of a process from every other."""

EXIT_USAGE = 2
"""Exit code: flags or settings are wrong."""
EXIT_UNREACHABLE = 3
"""Exit code of sailctl: no controller answered."""
EXIT_REFUSED = 4
"""Exit code of sailctl: the fleet refused."""
EXIT_DISK = 5
"""Exit code: the disk failed to sync, or its file is damaged in the middle."""
EXIT_UNKNOWN = 6
"""Exit code of sailctl: the change may or may not be in force."""
EXIT_IN_USE = 7
"""Exit code: an address or the data folder is in use."""
EXIT_FAULT = 70
"""Exit code: an owner failed; the process ends rather than run on with broken state."""
SAILCTL_TIMEOUT = 8.0
"""Seconds that sailctl waits for a controller: more than OPERATION_TIMEOUT for a read and a change."""
