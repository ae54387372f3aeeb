"""Constants of the daemons on the users' platform and of their network edges, each with unit, meaning and reason."""

from sailward.constants.base import *

MESSAGE_TRANSPORT_SWEEP_INTERVAL = 0.25
"""Seconds between checks for message connections that make no progress."""
MESSAGE_TRANSPORT_CONNECT_TIMEOUT = 0.6
"""Seconds for a message connection to open: three round trips between regions and the pause after a lost packet."""
MESSAGE_TRANSPORT_CHUNK_BYTES = 65536
"""Bytes read or written at once on a message connection."""
MESSAGE_TRANSPORT_KEEPALIVE_INTERVAL = 2
"""Seconds without traffic before the first keep-alive probe of a message connection, and between probes."""
MESSAGE_TRANSPORT_COMPRESSION_MIN_BYTES = 400
"""Bytes from which a message is compressed: shorter ones gain little."""

HTTP_CLIENT_MAX_IDLE_CONNECTIONS = 8
"""Number of idle connections kept for one worker: enough for a burst, far below what a worker accepts from all callers
together."""
HTTP_CLIENT_IDLE_MARGIN = 1.0
"""Seconds before the end of a worker's own idle time-out from which a kept connection is no longer used: a request
could cross the worker's close."""
HTTP_CLIENT_MIN_IDLE_TIMEOUT = 0.5
"""Seconds that an idle connection is kept at least, however short the worker's idle time-out in whole seconds."""
HTTP_CLIENT_MAX_HEAD_BYTES = 64 << 10
"""Bytes of a response's status line and headers."""
HTTP_CLIENT_READ_BYTES = 128 << 10
"""Bytes read from a connection at once: most responses come in one read."""
HTTP_CLIENT_SWEEP_INTERVAL = 0.1
"""Seconds between checks for expired calls and idle connections: one timer for all of them."""
HTTP_CLIENT_SHORT_TIMEOUT = 0.3
"""Seconds. A call with a shorter time-out has its own timer, as the sweep would be too coarse."""

WORKER_FULL_BACKOFF = 0.15
"""Seconds that a worker which refused an exchange as full is passed over: about the time of one exchange."""
LATENCY_EWMA_WEIGHT = 0.2
"""Weight of the newest latency in a worker's moving average: about the last ten count."""
PROBE_INITIAL_BACKOFF = 0.3
"""Seconds before the first probe of a worker in doubt, doubled with each failure."""
PROBE_MAX_BACKOFF = 1.5
"""Seconds between probes of a worker that stays down."""
SLOW_START_MARGIN = 0.5
"""Seconds that a worker counts as cold beyond the reported time, as the report is as late as the list."""
RETRY_BUDGET_UTILIZATION = 0.7
"""Fraction of its share of the retry budget that a proxy uses, as the count of proxies lags and windows slide."""

HTTP_SERVER_MAX_CONNECTIONS = 3000
"""Number of connections that one HTTP server holds; further ones are closed at once, so that descriptors are left for
workers."""
HTTP_SERVER_BACKLOG = 512
"""Number of connections that wait to be accepted: a burst of clients after a neighbouring proxy is lost."""
HTTP_SERVER_PIPELINE_DEPTH = 16
"""Number of requests of one connection that are unanswered or unwritten; with more it is not read further."""
HTTP_SERVER_READ_AHEAD_BYTES = 16 << 10
"""Bytes that are read ahead on a connection at HTTP_SERVER_PIPELINE_DEPTH, so that the client's close behind them is
noticed. With all connections in this state, 47 MB."""
HTTP_SERVER_SWEEP_INTERVAL = 0.25
"""Seconds between checks of the connections' time limits: well below the shortest of them."""
HTTP_SERVER_BODY_IDLE_TIMEOUT = 10.0
"""Seconds between bytes of a request's body, or the limit of the head if that is longer."""
HTTP_SERVER_WRITE_IDLE_TIMEOUT = 15.0
"""Seconds without progress after which a client that does not read its response is disconnected."""
HTTP_SERVER_IDLE_GRACE = 1.0
"""Seconds beyond its idle time-out that a connection is kept: clients count from the arrival of their last response,
over slow links too."""
HTTP_SERVER_LINGER_TIMEOUT = 0.5
"""Seconds that a closed connection is still read, so that a reset does not overtake its last response."""
HTTP_SERVER_FIRST_REQUEST_GRACE = 1.0
"""Seconds that a draining HTTP server allows a new connection for its first request."""
HTTP_SERVER_ACCEPT_BACKOFF = 0.1
"""Seconds without accepting when the process has no descriptors left."""
HTTP_SERVER_READ_BYTES = 64 << 10
"""Bytes read at once, so that one connection does not delay the others."""
HTTP_SERVER_MAX_READS = 3
"""Number of reads of one connection at a time: enough for a request in two pieces and the client's close behind it."""
HTTP_SERVER_RETRY_AFTER = 0.2
"""Seconds that the client of a request which arrived too slowly is asked to wait."""
DEFAULT_REQUEST_TIMEOUT = 30.0
"""Seconds for a request where neither the client nor its route says."""
MAX_SHARD_KEY = 65535
"""The last key of a sharded service."""
DEFAULT_WORKER_LATENCY = 0.2
"""Seconds: the assumed latency of a worker that has not shown its own."""
DEFAULT_WORKER_CAPACITY = 4
"""Number of requests that a worker is assumed to process at once where the list does not say."""
WORKER_QUEUE_DEPTH = 4
"""Multiple of its capacity that a worker is sent by all proxies together: what it processes and a few that queue."""
SLOW_START_PROXIES = 2
"""Number of proxies that may send to a cold worker: one may be lost, and views of the fleet may differ."""
KEY_OWNER_BACKOFF = 0.15
"""Seconds before a key's owner that refused a request is asked again: a grant in flight takes one call."""

GRANT_CONFIRMATION_TTL = 1.0
"""Seconds, counted from the request, for which a confirmation that a key table is the newest lets its granter act on
it."""
GRANT_TIMEOUT = 0.6
"""Seconds that a grant may take: a few round trips between regions."""
GRANT_IN_FLIGHT_LIMIT = 0.5
"""Seconds that bytes of a cancelled call may still be in flight."""
GRANT_FENCE_DELAY = GRANT_CONFIRMATION_TTL + GRANT_TIMEOUT + GRANT_IN_FLIGHT_LIMIT
"""Seconds after a newer key table was first held, by when nothing sent under an older one can arrive any more."""
GRANT_DURATION = 3.2
"""Seconds that a worker holds its keys after a grant: three renewals may be lost in a row."""
GRANT_RENEWAL_INTERVAL = 0.7
"""Seconds between grants of the same range."""
GRANT_RETRY_INTERVAL = 0.25
"""Seconds before a grant or a release that failed is sent again."""
GRANT_CLOCK_DRIFT_FACTOR = 1.03
"""Factor by which a worker may hold its keys longer than granted by a slow clock (2%), and by ours."""
GRANT_EXPIRY_MARGIN = 0.1
"""Seconds added before an expired hold counts as ended, for timers and the owners' steps."""
GRANT_RELEASE_TIMEOUT = 5.0
"""Seconds that a release may take, as it ends with the requests that were running: longer than the hold, after which
the range is free anyway."""
GRANT_FAILURE_TIMEOUT = 1.4
"""Seconds of failing grants (two that timed out), or of being reported down, before a worker's ranges move."""
GRANT_FAILURE_BACKOFF = 10.0
"""Seconds after its last failed grant during which a worker that did not answer is given no ranges."""
GRANT_CHECK_INTERVAL = 0.1
"""Seconds between checks whether the key table should change, when nothing happens."""
GRANT_TABLE_CHANGE_TIMEOUT = 1.0
"""Seconds before a change of a key table that has not taken effect is retried."""
GRANT_TAKEOVER_MIN_INTERVAL = 2.0
"""Seconds that a granter named in the table is not replaced at least, so that two with different views don't
alternate."""
REBALANCE_DELAY = 2.0
"""Seconds that a slight imbalance must last before ranges move for it, and between two such moves."""
REBALANCE_URGENT_DELAY = 0.3
"""Seconds that an imbalance of REBALANCE_URGENT_RATIO must last, and between two moves for it, as a queue grows
meanwhile."""
REBALANCE_URGENT_RATIO = 1.9
"""Multiple of its fair share from which a worker is relieved soon: chance alone does not cause it, however few requests
were counted."""
REBALANCE_MIN_UTILIZATION = 0.3
"""Fraction of the rate that a worker can handle, up to which it is not relieved below REBALANCE_URGENT_RATIO: it has no
queue, and a move has a cost."""
MAX_RANGES_PER_WORKER = 4
"""Average number of ranges per worker, above which neighbouring ranges of one owner are joined."""
REBALANCE_MAX_MOVES = 6
"""Number of ranges moved at once for balance alone, as keys that change owners have a cost."""
REBALANCE_HIGH_RATIO = 1.35
"""Multiple of its fair share from which a worker gives ranges away."""
REBALANCE_LOW_RATIO = 0.5
"""Multiple of its fair share below which a worker is given ranges."""
REBALANCE_MIN_PIECE_RATIO = 0.25
"""Fraction of a fair share that the smallest piece given to a worker should have: keeps the number of ranges small."""
REBALANCE_MIN_RATE = 8.0
"""Requests per second of a service below which its keys count as equally busy."""
KEYS_PER_BUCKET = 16
"""Number of keys of a sharded service that are counted together: one that is far busier than its neighbours stands
out."""
QUEUE_WAIT_RATIO = 0.25
"""Fraction of a route's target that a request may be queued before it is sent to a worker: refusing it later counts as
holding it."""
MIN_REMAINING_TIME = 0.02
"""Seconds to the deadline below which nothing is sent any more: no worker is as quick."""
MAX_UNREACHABLE_WORKERS = 3
"""Number of workers that could not be reached at all before a request is given up."""
HEDGE_MIN_DELAY = 0.25
"""Seconds without an answer before a second worker is asked, at least."""
HEDGE_DELAY_RATIO = 0.6
"""Fraction of a route's target that a worker may take before a second one is asked."""
HEDGE_BUDGET_RATIO = 0.35
"""Fraction of the retry budget that may be used for hedged requests: the rest is for retries of failures."""
RETRY_AFTER_BY_REASON = {
    "": 0.5,
    "no-room": 0.2,
    "key-moving": 0.2,
    "key-unowned": 0.3,
    "owner-lost": 0.4,
    "owner-cold": 0.3,
    "worker-full": 0.2,
    "budget": 0.3,
}
"""Seconds after which a client is asked to retry, by the reason of the refusal."""
POLL_INTERVAL = 0.5
"""Seconds between a proxy's polls of a controller. Changes are pushed at once; polls find lost pushes and controllers
that don't answer."""
POLL_TIMEOUT = 1.0
"""Seconds between polls of a controller that does not answer."""
MAX_LOST_POLLS = 2
"""Number of unanswered polls after which another controller is asked instead."""
CONTROLLER_TIMEOUT = 1.3
"""Seconds without an answer after which a controller's lists are no longer waited for: two polls and a round trip."""
QUORUM_CONTACT_TTL = 2.0
"""Seconds, counted from the request, for which an answer of a majority of the voters lets a controller serve.
Heartbeats come each half second and answer the last one, so answers are up to 1.2 s old in normal operation, and one
lost heartbeat is tolerated."""
HEARTBEAT_ECHO_MODULUS = (1 << 31) - 2
"""Number of values by which heartbeats are answered: as many as fit into four bytes."""
QUORUM_CONTACT_REPORT_TTL = 1.2
"""Seconds since its last heartbeat during which another controller is believed to have quorum contact: two heartbeats
and a one-way trip between regions. Where nothing has arrived since a partition, contact ends later than this, so
operators aren't redirected into the cut-off part."""
OPERATOR_QUORUM_TIMEOUT = 0.7
"""Seconds that an operator waits for a majority: operators' clients try another controller after one second without an
answer, and come back sooner if told."""
MAX_REDIRECT_CONTROLLERS = 12
"""Number of other controllers that one without quorum contact names to a proxy: more than may be lost at once, and few
bytes."""
LAST_RESORT_DELAY = 2.5
"""Seconds without an answer of a controller with quorum contact, after which a proxy follows one without: long enough
to ask all that it knows twice, short against the time that workers serve on an old list."""
CONTROLLERS_POLLED = 2
"""Number of controllers that a proxy polls: one may be lost without a gap in the pushes."""
EVENT_JOURNAL_DUMP_LENGTH = 60
"""Number of events that are logged when an owner ends by a fault: its last seconds."""
OPERATOR_HEAD_TIMEOUT = 10.0
"""Seconds in which an operator's request line and headers must be complete."""

ENDPOINT_LIST_RATE_RATIO = 0.45
"""Fraction of the platform's call rate that all readers of its list use together: the rest is for starts and for other
clients."""
ENDPOINT_LIST_MAX_BACKOFF = 2.0
"""Seconds between passes over the list at most while passes fail: changes must still arrive in time."""
ENDPOINT_LIST_MAX_PAGES = 400
"""Number of pages in one pass: a list with more is circular."""
ENDPOINT_REMOVAL_TTL = 5.0
"""Seconds that a worker removed by one controller's list is not restored by another's: lists lag by a pass or two."""
ENDPOINT_DEPARTURE_TTL = 600.0
"""Seconds for which it is remembered that a worker, now on no list any more, was leaving."""
SLOW_START_REPORT_THRESHOLD = 0.4
"""Seconds by which a worker's reported cold time must exceed the expected one to count as a change: it counts down by
itself."""
HISTORY_SEGMENT_CHANGES = 256
"""Number of changes in one segment of a labelled configuration's history, 3 kB: two minutes at three changes a
second."""
HISTORY_SEGMENTS = 2
"""Number of segments of the history: one that fills, and a full one before it. So 256 to 512 changes are recognized
when they are sent again."""
ORDER_READ_TIMEOUT = 1.0
"""Seconds that an order on a zone may wait before its change begins: its operator has turned to another controller by
then, and a copy that begins later could undo what was ordered since."""
MAX_ORDER_ATTEMPTS = 5
"""Number of times that an operator's change is attempted on top of concurrent changes, before the operator is asked to
come back."""
VOTER_JOIN_TIMEOUT = 6.0
"""Seconds that a new voter may take to copy before another one is brought in for it, where the group bootstrapped
itself."""
VOTER_HANDOVER_TIMEOUT = 4.0
"""Seconds that a voter which was told to stop waits until another has replaced it: within the shortest grace, 6 s."""
REPAIR_STAGGER_DELAY = 0.6
"""Seconds that each voter leaves to the ones named before it to begin a repair, where the group bootstrapped itself."""
REPAIR_RETRY_INTERVAL = 1.0
"""Seconds before a change of the voters that has not taken effect is retried, where the group bootstrapped itself."""
WAITING_CONTROLLER_POLL_INTERVAL = 2.0
"""Seconds between polls of a controller that waits and knows the voters, where the group bootstrapped itself."""
GRANT_CONFIRMATION_INTERVAL = 0.35
"""Seconds between requests to the voters by a controller that grants keys. Two fit into GRANT_CONFIRMATION_TTL with a
round trip between regions."""
PROXY_REPORT_INTERVAL = 2.0
"""Seconds between a controller's reports on its proxies (the loads of keys) to the others when nothing changes."""
PROXY_REPORT_MIN_INTERVAL = 0.2
"""Seconds between two such reports when something has changed."""
PROXY_REPORT_TTL = 5.0
"""Seconds for which another controller's report on its proxies counts: if it is lost, they poll another one within that
time."""
PROXY_TIMEOUT = 1.8
"""Seconds without a poll after which a proxy is no longer named to clients."""
KEY_LOAD_WINDOW = 4.0
"""Seconds over which the load of keys is counted: long enough for a mean, short enough for a spike."""
KEY_LOAD_MIN_COUNT = 0.05
"""Number of requests left of a bucket's decaying count, below which the bucket is forgotten."""
ZONE_HOLD_DOWN_SHORT = 5.0
"""Seconds of a zone's hold-down where a deployment needs it back in service within seconds: twice its longest flap."""
GOSSIP_STARTUP_HEARTBEATS = 4
"""Number of heartbeats after its start in which a daemon sends its whole peer table to the seeds each time."""
GOSSIP_SEED_HEARTBEATS = 8
"""Number of heartbeats from one sending of the whole peer table to seeds that are not among the living to the next."""
SAME_ZONE_CONTROLLER_WAIT = 0.4
"""Seconds after its start that a proxy waits for a controller of its own zone before it follows another's lists: a few
round trips."""
KEY_WAIT_RATIO = 0.6
"""Fraction of a route's target that a request may wait for its key, which is moving to another worker or about to."""
CONCURRENCY_WINDOW_INITIAL = 3.0
"""Number of requests that a proxy has open at a worker at most before the worker has shown its latency."""
CONCURRENCY_WINDOW_MAX = 6.0
"""Number of requests that a proxy ever has open at a worker at once."""
CONCURRENCY_WINDOW_MIN = 2
"""Number of requests that a proxy may have open at a worker that is not queueing, however many proxies there are."""
CONCURRENCY_SHARE_FACTOR = 3
"""Multiple of its even share that a proxy may have open at a worker: its requests come in bursts, those of other
proxies at other moments."""
CONCURRENCY_WINDOW_INCREASE = 0.5
"""Number of requests added to the window by each answer that shows no queueing."""
CONCURRENCY_WINDOW_DECREASE = 0.7
"""Factor of the window after an answer that shows queueing."""
LATENCY_QUEUEING_RATIO = 2.2
"""Multiple of its baseline latency above which a worker is assumed to be queueing."""
LATENCY_BASELINE_DRIFT = 1.02
"""Factor by which a worker's baseline latency may rise with each answer: it may have become slower for good."""
KEY_OWNER_RETRY_RATIO = 1.5
"""Fraction of a route's target after which a key's owner that has not answered is asked once more."""
MAX_SPEED_RATIO = 3.0
"""Multiple of its service's mean by which a worker is assumed to be slower or faster at most."""
LOST_REQUEST_LATER_RESPONSES = 4
"""Number of answers to later requests to the same worker, after which an earlier one is assumed to be lost there: as
many as it processes at once."""
LOST_REQUEST_LATENCY_RATIO = 3.0
"""Multiple of its worker's baseline latency that a request must have been open before it counts as lost."""
REGIONAL_CONNECT_TIMEOUT = 0.25
"""Seconds for a connection within the region to open: a hundred round trips."""
UNREACHABLE_HINT_TTL = 1.2
"""Seconds that a worker is passed over because other proxies report it unreachable."""
UNREACHABLE_HINT_GRACE = 0.3
"""Seconds after a worker's own answer during which reports of others are not believed."""
UNREACHABLE_MIN_REPORTS = 2
"""Number of proxies that must report a worker unreachable before others are told."""
UNREACHABLE_MIN_RATIO = 0.1
"""Fraction of all proxies that must report a worker unreachable before others are told."""
INITIAL_POLL_INTERVAL = 0.12
"""Seconds between polls of a proxy that follows no controller yet, as it serves nothing before."""
ENDPOINT_LIST_READER_TIMEOUT = 1.4
"""Seconds without a message from the reader of the list after which a controller reads it itself: two passes and a
margin."""
ENDPOINT_LIST_READERS = 2
"""Number of controllers that may read the platform's list at a time: the one that hashing selects, and one that has
just not heard of it."""
ENDPOINT_LIST_PAGE_DELAY = 0.08
"""Seconds added between passes for each page beyond the first: a long list costs calls, and its changes are pushed at
once all the same."""
LEAVING_WORKER_MARGIN = 1.3
"""Seconds of a leaving worker's drain time that may be over before a proxy hears of it: a pass, its pages, the push."""
PROXY_CHECK_INTERVAL = 0.2
"""Seconds between a controller's checks of its proxies: their news arrive with polls each half second."""
KEY_LOAD_BUCKETS = (MAX_SHARD_KEY + 1) // KEYS_PER_BUCKET
"""Number of buckets of all keys of a sharded service."""
KEY_LOAD_QUANTILES = 48
"""Number of equal parts of a load whose boundaries are reported: ranges are cut to about a tenth of a worker's
share."""
KEY_LOAD_SHIFT_RATIO = 1 / 3
"""Fraction of a load that must have been added, removed or moved for it to be reported again soon."""
KEY_LOAD_REPORT_MIN_INTERVAL = 0.3
"""Seconds between two reports of a load that is new or has shifted."""
KEY_LOAD_REPORT_INTERVAL = 1.5
"""Seconds between two reports of a steady load, to the controller that places the keys."""
LATENCY_SAMPLES_KEPT = 40
"""Number of latencies of a worker that are kept: some ten seconds of them."""
LATENCY_SAMPLES_SENT = 8
"""Number of the newest latencies of each worker that a proxy reports at once."""
LATENCY_TTL = 120.0
"""Seconds without a sample after which a worker's latency is forgotten."""
LATENCY_PRIOR_SAMPLES = 16
"""Number of samples for which a service's median latency counts in each worker's latency: a few samples tell little."""
LATENCY_MAX_RATIO = 1.8
"""Multiple of the median latency, or its inverse, that a worker's latency counts as at most."""
LATENCY_LOWER_HALF_RATIO = 0.45
"""Ratio of the mean of the lower half of a worker's latencies to the mean of all, for a spread like the measured
one."""
REBALANCE_SATURATION_RATIO = 0.75
"""Fraction of what all workers can handle, from which each has its even share: there is no choice left."""
REBALANCE_SKEW_EXPONENT = 1.2
"""Amount above 1 of the exponent by which shares grow with what workers can handle, when there is nothing to do."""
REBALANCE_SLOW_WORKER_RATIO = 0.4
"""Fraction of its even share that a slow worker may have beyond its fair one, from which it gives ranges away."""
