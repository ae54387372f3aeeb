"""All constants of sailward, each with its unit and the reason for its value."""

TICK_INTERVAL = 0.05
"""s. How often an owner looks at its alarms: far under the shortest alarm (0.25 s), cheap when idle."""

LEASE_DURATION = 2.0
"""s, from the moment of asking. A proxy that is cut off goes silent before the 2.5 s that the rules allow."""
LEASE_REQUEST_INTERVAL = 0.4
"""s. Four askings fit into a lease, so three may be lost in a row."""
REGISTER_READ_DELAY = 0.15
"""s. How long a proxy waits for the push of a newer value before it reads the register itself."""

ROUND_TIMEOUT = 0.3
"""s. A round at a majority that is not finished by then is sent again under a higher ballot."""
ROUND_TIMEOUT_PER_BYTE = 1e-6
"""s more for a round for each byte of the value: 1 MB takes about half of it between two regions here."""
PROPOSER_BACKOFF = 0.04
"""s, times a random factor and the attempts so far. Lets one of two racing proposers through."""
OPERATION_TIMEOUT = 3.0
"""s. An operators' change that is not settled by then is refused or unknown."""
CLAIM_TIMEOUT = 1.0
"""s. Longest wait for the claim on an unsafe exchange: a patient caller bears it, a held one would not."""
CLAIM_TTL = 1800.0
"""s. A key is remembered this long after its claim: 100,000 of them at the larger of today's sizes, 1.06 kB of memory
and 0.28 kB of disk each. A repeat that comes later may run, unless its key tells its time."""
KEY_MAX_CLOCK_SKEW = 10.0
"""s that a caller's clock may be ahead of the core's: a key further on would outlive its claim."""
KEY_EXPIRY_MARGIN = 60.0
"""s before the end of a claim's life from which a key that tells its time is too old: KEY_MAX_CLOCK_SKEW, and
the clocks' spread."""
CLOCK_SAMPLE_TTL = 30.0
"""s that a controller's clock counts after it was heard of last: clocks of one rate, so only jumps make it wrong."""
CLAIM_SWEEP_INTERVAL = 10.0
"""s between sweeps of claims that have outlived CLAIM_TTL."""
REGISTER_HISTORY_LENGTH = 8
"""marks. How many earlier changes a register names, so that a proposer finds its own among them."""

PUSH_RETRY_INTERVAL = 0.3
"""s. An unacknowledged push is sent again after this."""
SUBSCRIBER_TTL = 2.0
"""s. A proxy that has not asked for a lease for one lease's length no longer counts as subscribed."""

GOSSIP_INTERVAL = 0.5
"""s between two tellings of the peer table to each watched daemon."""
GOSSIP_FANOUT = 3
"""daemons that rendezvous hashing names for each: one may be lost and one cut off."""
HEARTBEAT_TIMEOUT = 2.5
"""s without a newer heartbeat before a daemon counts as lost."""
PEER_TTL = 60.0
"""s without a newer heartbeat before a daemon is forgotten: longer than a restart."""

ENDPOINT_LIST_INTERVAL = 0.5
"""s between passes over the platform's list: leaves 2 s of the 2.5 s for push and draining."""
ENDPOINT_LIST_PAGE_SIZE = 20
"""workers asked for in one page."""
ENDPOINT_LIST_PAGE_TIMEOUT = 1.0
"""s. A page that takes longer fails the pass."""

PROBE_INTERVAL = 1.0
"""s between probes of a worker in good status."""
PROBE_IN_DOUBT_INTERVAL = 0.25
"""s between probes of a worker in doubt: settles a crash in about half a second."""
PROBE_TIMEOUT = 0.5
"""s. A probe without a result by then has failed."""

ZONE_SPILL_THRESHOLD = 0.70
"""fraction healthy under which a zone spills (the source's failoverHealthThreshold)."""
ZONE_DRAIN_THRESHOLD = 0.25
"""fraction healthy under which a zone is drained (the source's autoCapacityDrain)."""
ZONE_RESTORE_THRESHOLD = 0.35
"""fraction healthy at which a drained zone begins its hold."""
ZONE_HOLD_DOWN = 60.0
"""s that a drained zone stays at ZONE_RESTORE_THRESHOLD or over before it takes load again (the source's)."""
MAX_DRAINED_ZONES_RATIO = 0.50
"""of a pool's non-empty zones may be drained at once (the source's)."""
SELF_SUSPICION_RATIO = 0.5
"""of all zones down in one proxy's view alone: it suspects itself."""
HEALTH_REPORT_TTL = 2.0
"""s. A proxy's digest older than this has no voice in the standing view."""

ZONE_HEALTH_INTERVAL = 0.25
"""s between two counts of the zones when nothing happens: a hold ends by time alone."""
HEALTH_AGGREGATION_INTERVAL = 0.2
"""s between two folds of the proxies' digests: half of their askings."""
MAX_CONCURRENT_SLOT_MOVES = 8
"""slots of one service closed at a time for a move that nothing forces."""
SLOT_MOVE_MARGIN = 0.3
"""s beyond a lease and an expiry before a closed slot opens: alarms and the owners' steps."""
SLOT_OWNER_GRACE = 1.5
"""s that a slot's owner may be unwell before its slots move: a move closes them for longer."""
PROXY_ACTIVITY_TTL = 9.0
"""s that a controller tells of a proxy after its last asking: the longest expiry (5 s), a lease, and the telling."""
PROXY_ACTIVITY_HEARTBEATS = 19
"""heartbeats (of GOSSIP_INTERVAL) after its start before what a controller tells of the proxies is whole:

over PROXY_ACTIVITY_TTL.
"""
SLOT_ASSIGNMENT_INTERVAL = 0.25
"""s between looks at the slots."""
MAX_OPEN_EXCHANGES = 128
"""exchanges a proxy has open at workers; more wait in line."""
TENANT_QUEUE_LENGTH = 64
"""exchanges that wait for one tenant; more are refused at once."""
QUEUE_TIMEOUT = 0.5
"""s that an exchange may wait in line before it is refused: never held."""
DEFAULT_SERVICE_TIMEOUT = 3.0
"""s, default for a service: the longest that an exchange may take at a worker."""
RETRY_BUDGET_RATIO = 0.15
"""of first attempts may be retried in RETRY_BUDGET_WINDOW: with callers' own under the rules' fifth."""
CLAIM_LOOKUP_RATIO = 1.0
"""of first attempts in RETRY_BUDGET_WINDOW that repeats of unsafe exchanges may look up their claim: it reaches no
worker, only the core."""
RETRY_BUDGET_WINDOW = 10.0
"""s. The window that the rules name."""
RETRY_BUDGET_MINIMUM = 2
"""attempts always allowed in a window, so that a quiet proxy can still retry."""
RETRY_CREDIT_TTL = 15.0
"""s that a refused first try, sent to no worker, is made up for by a caller's repeat."""
MAX_ATTEMPTS = 2
"""times that one exchange is sent on at the most."""
RETRY_AFTER = 1
"""s that a refusal asks the caller to stay away: half a lease, one probe."""
DEFAULT_WORKER_RATE = 200.0
"""exchanges/s, default bound for one worker over all pools and proxies."""
SLOW_START_RATE = 5.0
"""exchanges/s, default first bound of a cold worker over all proxies."""
SLOW_START_RAMP = 20.0
"""s in which a cold worker's bound grows to its full one."""
RATE_LIMIT_UTILIZATION = 0.9
"""of its part of a bound that a proxy uses, as counts of proxies lag."""
RATE_LIMIT_BURST = 0.25
"""s of its rate that a worker's bound lets through at once."""
HOT_KEY_SHARE = 0.5
"""of its worker's bound that one key of a divided service may take: the rest is for the worker's other keys."""

MAX_HEAD_BYTES = 16 << 10
"""bytes of a caller's request line and headers, where the operators' configuration does not say."""
HEAD_TIMEOUT = 3.0
"""s in which a caller's request line and headers must be whole, where the operators' configuration does not say."""
MAX_BODY_BYTES = 1 << 20
"""bytes of a caller's body; over it 413."""
MAX_RESULT_BYTES = 4 << 20
"""bytes of a worker's result; over it 502: results are read whole before a byte is sent."""
MAX_CONFIG_BYTES = 1 << 20
"""bytes of a configuration; over it 413."""
MAX_JSON_DEPTH = 64
"""levels of nesting in JSON from outside: several times what a configuration has, far from the interpreter's bound."""
MAX_JSON_DIGITS = 18
"""digits of a whole number in JSON from outside: what 64 bits hold."""
RESULT_CACHE_BYTES = 64 << 20
"""bytes of results that a proxy keeps for repeats."""
RESULT_REPLICA_CACHE_BYTES = 64 << 20
"""bytes of other proxies' results that a proxy keeps copies of: a brief's day of claims (900 s of 40/s of 1 kB) is 36
MB."""
VERSIONS_WITHOUT_REPLICAS = ("0.1.0",)
"""versions of proxies that do not know the message of a copy, and would close the connection over it."""
MAX_REPLICATED_RESULT_BYTES = 256 << 10
"""bytes of a result of which a copy is given away; a larger one would hold up the messages behind it."""
MAX_FRAME_BYTES = 8 << 20
"""bytes of one message between processes; a longer one closes the connection."""
SEND_QUEUE_LENGTH = 2000
"""messages waiting for one peer; more are dropped, as a cut would."""
CONNECT_TIMEOUT = 0.5
"""s for a connection between our processes to open."""
CONNECT_BACKOFF = 0.25
"""s between two dials of a peer that can't be reached."""

STOP_GRACE = 5.0
"""s in which a stopping proxy finishes what it took: within the platform's 6 s."""
DEREGISTRATION_DELAY = 2.0
"""s that a stopping proxy still serves, until the directories have stopped naming it."""
WSGI_RESPONSE_TIMEOUT = 30.0
"""s that an HTTP thread waits for its owner: far beyond every expiry, so only a fault ends it."""
CLIENT_DISCONNECT_CHECK_INTERVAL = 0.2
"""s between two looks at a caller whose answer is not there yet: most answers come before the first; half of the half
second after which nothing may run on for one that has left."""
FLUSH_TIMEOUT = 0.5
"""s that an ending process leaves its last results to be written."""
HTTP_CLIENT_IDLE_TIMEOUT = 10
"""s that an idle connection to a worker is kept."""
HTTP_SERVER_THREADS = 256
"""connections that one process serves over HTTP at once."""
HTTP_CLIENT_THREADS = 160
"""calls that one process makes over HTTP at once: MAX_OPEN_EXCHANGES and the probes."""
HTTP_SERVER_IDLE_TIMEOUT = 15.0
"""s that an idle caller's connection is kept open."""

REWRITE_MIN_RECORDS = 20000
"""records. A data file with fewer is never rewritten."""
REWRITE_FACTOR = 3
"""times its live records, or the bytes of these, at which a data file is rewritten."""
REWRITE_THRESHOLD_BYTES = 4 << 20
"""bytes. A data file that is longer is rewritten, unless most of it is live.

Some 30 changes of a 350-route configuration.
"""
RECORD_OVERHEAD_BYTES = 200
"""bytes that a record takes beside its value's text: names, ballot, marks."""
DISK_RESERVE_BYTES = 8 << 20
"""bytes kept aside on the disk, given up to make room for a rewrite when it is full."""
EVENT_JOURNAL_LENGTH = 512
"""events that a process keeps of those its owner was given; written out if the owner ends by a fault."""

RECOVERY_NUMBER_GAP = 1_000_000
"""numbers of the voters register that a founding anew leaves free: more than the old set can have made unseen."""
RECOVERY_NUMBER_LOCATIONS = 500
"""places in that gap: two foundings on two sides of a cut get different numbers, 1000 changes apart."""
VOTER_REPLACEMENT_DELAY = 20.0
"""s that a voter must be lost before a waiting empty controller takes its place: longer than a roll of its machine."""
COPY_RETRY_INTERVAL = 0.5
"""s. A page of a copy that has not come by then is asked for again."""
COPY_PAGE_SLOTS = 200
"""slots in one page of a copy: about 60 kB."""
REPAIR_INTERVAL = 1.0
"""s between looks at whether a voter must be replaced."""
REGISTER_READ_INTERVAL = 5.0
"""s between a controller's own reads of the control registers: finds what it missed."""
STALLED_VOTE_TIMEOUT = 0.5
"""s that a vote may stand unchosen before a controller reads, and so finishes or disproves it."""
SLOW_START_REPORT_DURATION = 3.0
"""s after its first asking in which a proxy is told how long workers have been warm."""
NONCE_BYTES = 6
"""bytes that set one start of a process apart from every other."""

EXIT_USAGE = 2
"""exit code: flags or settings are wrong."""
EXIT_UNREACHABLE = 3
"""exit code of sailctl: no controller answered."""
EXIT_REFUSED = 4
"""exit code of sailctl: the fleet refused."""
EXIT_DISK = 5
"""exit code: the disk failed to sync, or its file is damaged in the middle."""
EXIT_UNKNOWN = 6
"""exit code of sailctl: the change may or may not be in force."""
EXIT_IN_USE = 7
"""exit code: an address or the data folder is in use."""
EXIT_FAULT = 70
"""exit code: an owner failed; the process ends rather than run on with broken state."""
SAILCTL_TIMEOUT = 8.0
"""s that sailctl waits for a controller: over OPERATION_TIMEOUT for a read and a change."""
