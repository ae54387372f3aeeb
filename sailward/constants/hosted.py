"""Constants of the daemons on the users' platform and of the edges that they use, each with its unit and reason."""

from sailward.constants.base import *

MESSAGE_TRANSPORT_SWEEP_INTERVAL = 0.25
"""s between looks at message connections that do not get on."""
MESSAGE_TRANSPORT_CONNECT_TIMEOUT = 0.6
"""s for a message connection to come up: three round trips between regions and a lost packet's pause."""
MESSAGE_TRANSPORT_CHUNK_BYTES = 65536
"""bytes read or written at once on a message connection."""
MESSAGE_TRANSPORT_KEEPALIVE_INTERVAL = 2
"""s between probes of a message connection that is silent, and before the first."""
MESSAGE_TRANSPORT_COMPRESSION_MIN_BYTES = 400
"""bytes from which a message is compressed: shorter ones gain little."""

HTTP_CLIENT_MAX_IDLE_CONNECTIONS = 8
"""idle connections kept for one worker: a burst's worth, far under what a worker accepts of all callers together."""
HTTP_CLIENT_IDLE_MARGIN = 1.0
"""s before the end of a worker's own idle time from which a kept connection is no longer used: a request could cross
its close."""
HTTP_CLIENT_MIN_IDLE_TIMEOUT = 0.5
"""s that a connection is kept idle at least, however short the worker's idle time in whole seconds."""
HTTP_CLIENT_MAX_HEAD_BYTES = 64 << 10
"""bytes of an answer's status line and headers."""
HTTP_CLIENT_READ_BYTES = 128 << 10
"""bytes read from a connection at once: most answers come in one read."""
HTTP_CLIENT_SWEEP_INTERVAL = 0.1
"""s between looks at the calls' and idle connections' ends: one alarm for all of them."""
HTTP_CLIENT_SHORT_TIMEOUT = 0.3
"""s. A call that may take less has an alarm of its own: the sweep would be too coarse."""

WORKER_FULL_BACKOFF = 0.15
"""s that a worker which turned an exchange away as full is passed over: about one exchange's work."""
LATENCY_EWMA_WEIGHT = 0.2
"""of the newest time in the mean of a worker's times: the last ten count."""
PROBE_INITIAL_BACKOFF = 0.3
"""s before the first probe of a worker in doubt, doubled with each miss."""
PROBE_MAX_BACKOFF = 1.5
"""s between probes of a worker that stays down."""
SLOW_START_MARGIN = 0.5
"""s that a worker counts as cold beyond what is told of it: the news is late by the list's lag."""
RETRY_BUDGET_UTILIZATION = 0.7
"""of its part of the retry budget that a proxy uses, as counts of proxies lag and windows slide."""

HTTP_SERVER_MAX_CONNECTIONS = 3000
"""connections that one front holds; more are closed as they come, so that descriptors are left for workers."""
HTTP_SERVER_BACKLOG = 512
"""connections that wait to be accepted: a burst of callers after a neighbour's loss."""
HTTP_SERVER_PIPELINE_DEPTH = 16
"""requests of one connection that are unanswered or unwritten; with more it is not read on."""
HTTP_SERVER_READ_AHEAD_BYTES = 16 << 10
"""bytes that are read ahead of one connection with that many requests: a caller's close is seen behind them. With all
connections held at once, 47 MB."""
HTTP_SERVER_SWEEP_INTERVAL = 0.25
"""s between two looks at the connections' time limits: well under the shortest of them."""
HTTP_SERVER_BODY_IDLE_TIMEOUT = 10.0
"""s between bytes of a request's body, or the limit of the head if that is longer."""
HTTP_SERVER_WRITE_IDLE_TIMEOUT = 15.0
"""s without progress after which a caller that does not read its answer is dropped."""
HTTP_SERVER_IDLE_GRACE = 1.0
"""s past its idle time that a connection is kept.

Callers count from the arrival of their last answer, over slow links too.
"""
HTTP_SERVER_LINGER_TIMEOUT = 0.5
"""s that a closed connection is still drained, so that a reset does not overtake its last answer."""
HTTP_SERVER_FIRST_REQUEST_GRACE = 1.0
"""s that a leaving front leaves a new connection for its first request."""
HTTP_SERVER_ACCEPT_BACKOFF = 0.1
"""s without accepting when the process has no descriptors left."""
HTTP_SERVER_READ_BYTES = 64 << 10
"""bytes read at once: one connection does not hold up the others."""
HTTP_SERVER_MAX_READS = 3
"""reads of one connection at a time: a request in two pieces and its caller's close behind it, and no more."""
HTTP_SERVER_RETRY_AFTER = 0.2
"""s that a request which came too slowly is asked to wait."""
DEFAULT_REQUEST_TIMEOUT = 30.0
"""s that a request is worked on where neither the caller nor its route says."""
MAX_SHARD_KEY = 65535
"""The last key of a service that is divided by number."""
DEFAULT_WORKER_LATENCY = 0.2
"""s that a worker is taken to need before it has shown its pace."""
DEFAULT_WORKER_CAPACITY = 4
"""requests that a worker is taken to work on at once where the list does not say."""
WORKER_QUEUE_DEPTH = 4
"""times its capacity that a worker is given by all proxies together: itself and a few that queue."""
SLOW_START_PROXIES = 2
"""proxies that may send to a cold worker: one may be lost, and views of the fleet may differ."""
KEY_OWNER_BACKOFF = 0.15
"""s before a key's owner that turned a request away is asked again: a grant on its way takes one call."""

GRANT_CONFIRMATION_TTL = 1.0
"""s, from the moment of asking. How long a confirmation that a key table is the newest lets its granter act on it."""
GRANT_TIMEOUT = 0.6
"""s that a grant may take: between regions a few round trips."""
GRANT_IN_FLIGHT_LIMIT = 0.5
"""s that bytes of a call that was given up may still be under way."""
GRANT_FENCE_DELAY = GRANT_CONFIRMATION_TTL + GRANT_TIMEOUT + GRANT_IN_FLIGHT_LIMIT
"""s after a newer key table was held, by when nothing sent on an older one can arrive any more."""
GRANT_DURATION = 3.2
"""s that a worker holds its keys after a grant: three renewals may be lost in a row."""
GRANT_RENEWAL_INTERVAL = 0.7
"""s between two grants of the same range."""
GRANT_RETRY_INTERVAL = 0.25
"""s before a grant or a release that failed is sent again."""
GRANT_CLOCK_DRIFT_FACTOR = 1.03
"""times a hold that a worker may hold by its own slow clock (2%) and ours."""
GRANT_EXPIRY_MARGIN = 0.1
"""s more before a hold that ran out counts as ended: alarms and the owners' steps."""
GRANT_RELEASE_TIMEOUT = 5.0
"""s that a release may take, as it ends with what ran: over the hold, by when the range is free anyway."""
GRANT_FAILURE_TIMEOUT = 1.4
"""s of failing grants (two that ran out), or of being called down, before a worker's ranges move."""
GRANT_FAILURE_BACKOFF = 10.0
"""s after its last failed grant in which a worker that was silent is given no ranges."""
GRANT_CHECK_INTERVAL = 0.1
"""s between looks at whether the key table should change, when nothing happens."""
GRANT_TABLE_CHANGE_TIMEOUT = 1.0
"""s before a change of a key table that did not show is retried."""
GRANT_TAKEOVER_MIN_INTERVAL = 2.0
"""s that a granter named in the table is left in its place at least, so that two of differing views don't take
turns."""
REBALANCE_DELAY = 2.0
"""s that a slight imbalance must last before ranges move for it, and between two such moves."""
REBALANCE_URGENT_DELAY = 0.3
"""s that an imbalance of REBALANCE_URGENT_RATIO must last, and between two moves for it: a queue grows meanwhile."""
REBALANCE_URGENT_RATIO = 1.9
"""times its fair part from which a worker is relieved soon: chance alone does not do it, however few requests were
counted."""
REBALANCE_MIN_UTILIZATION = 0.3
"""of what a worker can do by its pace, up to which it isn't relieved unless it is blazing: it doesn't queue, and a move
has its price."""
MAX_RANGES_PER_WORKER = 4
"""ranges a worker, on the average, over which neighbouring ranges of one owner are joined."""
REBALANCE_MAX_MOVES = 6
"""ranges moved at once for balance alone: keys that change hands have their price."""
REBALANCE_HIGH_RATIO = 1.35
"""times its fair part from which a worker gives ranges away."""
REBALANCE_LOW_RATIO = 0.5
"""times its fair part below which a worker is given ranges."""
REBALANCE_MIN_PIECE_RATIO = 0.25
"""of a fair part that the smallest piece given to a worker should have: keeps the number of ranges small."""
REBALANCE_MIN_RATE = 8.0
"""requests/s of a service under which its keys count as equally busy."""
KEYS_PER_BUCKET = 16
"""keys of a divided service that are counted together: one that is far busier than its neighbours stands out."""
QUEUE_WAIT_RATIO = 0.25
"""of a route's target that a request may wait before it is sent on: what is refused later has been held."""
MIN_REMAINING_TIME = 0.02
"""s left below which nothing is sent on any more: no worker is as quick."""
MAX_UNREACHABLE_WORKERS = 3
"""workers that could not be reached at all before a request is given up."""
HEDGE_MIN_DELAY = 0.25
"""s of silence before a second worker is asked, at the least."""
HEDGE_DELAY_RATIO = 0.6
"""of a route's target that a worker may be silent before a second one is asked."""
HEDGE_BUDGET_RATIO = 0.35
"""of the retry budget's share that may go into asking a second worker: the rest is for what has failed."""
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
"""s after which a caller is asked to come back, by why it was refused."""
POLL_INTERVAL = 0.5
"""s between two askings of a controller for news: pushes come at once, the asking finds what was lost and who is
silent."""
POLL_TIMEOUT = 1.0
"""s between askings of a controller that does not answer."""
MAX_LOST_POLLS = 2
"""askings without an answer after which another controller is asked in its place."""
CONTROLLER_TIMEOUT = 1.3
"""s without an answer after which a controller's lists are not waited for any more: two askings and a round trip."""
QUORUM_CONTACT_TTL = 2.0
"""s, from the moment of asking, for which an answer of a majority of the voters lets a controller serve. Heartbeats
come each half second and answer the last one: calm answers are up to 1.2 s old, so one lost heartbeat is borne."""
HEARTBEAT_ECHO_MODULUS = (1 << 31) - 2
"""numbers by which heartbeats are answered: as many as fit into four bytes."""
QUORUM_CONTACT_REPORT_TTL = 1.2
"""s since its last heartbeat in which another controller is believed to have contact: two heartbeats and a way
between regions. Where nothing has come since a cut, contact ends later than this, so operators aren't sent behind
it."""
OPERATOR_QUORUM_TIMEOUT = 0.7
"""s that an operator waits for a majority: he asks another controller after one second of silence, and comes back
sooner if told."""
MAX_REDIRECT_CONTROLLERS = 12
"""other controllers that one without contact names to a proxy: more than may be lost at once, and few bytes."""
LAST_RESORT_DELAY = 2.5
"""s without an answer of a controller in contact with a majority, after which a proxy follows one without: long
enough to ask all that it knows twice, short against the time that workers serve on an old list."""
CONTROLLERS_POLLED = 2
"""controllers that a proxy asks: one may be lost without a gap in the pushes."""
EVENT_JOURNAL_DUMP_LENGTH = 60
"""events that are written out when an owner ends by a fault: the last seconds of it."""
OPERATOR_HEAD_TIMEOUT = 10.0
"""s in which an operator's request line and headers must be whole."""

ENDPOINT_LIST_RATE_RATIO = 0.45
"""of the platform's rate of calls that all readers of its list together use: the rest is for starts and for others."""
ENDPOINT_LIST_MAX_BACKOFF = 2.0
"""s between passes over the list at the longest while passes fail: its news must still come in time."""
ENDPOINT_LIST_MAX_PAGES = 400
"""pages of one pass: a list with more goes in circles."""
ENDPOINT_REMOVAL_TTL = 5.0
"""s that a worker which went from one teller's list is not believed to be back by another's: lists lag by a pass or
two."""
ENDPOINT_DEPARTURE_TTL = 600.0
"""s that the leaving of a worker which is on no list any more is remembered."""
SLOW_START_REPORT_THRESHOLD = 0.4
"""s by which a worker's told cold time must be over the expected one to be news: it counts down by itself."""
HISTORY_SEGMENT_CHANGES = 256
"""changes in one segment of a labelled configuration's history, 3 kB: two minutes at three changes a second."""
HISTORY_SEGMENTS = 2
"""segments of the history: one that fills, and a full one before it. So 256 to 512 changes are known when they are
sent again."""
ORDER_READ_TIMEOUT = 1.0
"""s that an order on a zone may wait before its change is begun: its operator has gone to another daemon by then,
and a copy that begins later could undo what was ordered since."""
MAX_ORDER_ATTEMPTS = 5
"""times that an operators' change is tried on top of what others changed meanwhile, before its operator is asked
to come back."""
VOTER_JOIN_TIMEOUT = 6.0
"""s that a new voter may take to copy before another one is brought in for it, where the core founded itself."""
VOTER_HANDOVER_TIMEOUT = 4.0
"""s that a voter which was told to stop waits until another has its place: within the shortest grace, 6 s."""
REPAIR_STAGGER_DELAY = 0.6
"""s that each voter leaves the ones named before it to begin a repair, where the core founded itself."""
REPAIR_RETRY_INTERVAL = 1.0
"""s before a change of the voters that did not show is retried, where the core founded itself."""
WAITING_CONTROLLER_POLL_INTERVAL = 2.0
"""s between askings for news of a controller that waits and knows the voters, where the core founded itself."""
GRANT_CONFIRMATION_INTERVAL = 0.35
"""s between two askings of the voters by a controller that grants keys.

Two fit into GRANT_CONFIRMATION_TTL with a round trip between regions."""
PROXY_REPORT_INTERVAL = 2.0
"""s between two tellings of a controller's proxies to the others where nothing changed: the loads of keys."""
PROXY_REPORT_MIN_INTERVAL = 0.2
"""s between two such tellings where something changed."""
PROXY_REPORT_TTL = 5.0
"""s that another controller's word of its proxies counts: if it is lost, they ask another within that time."""
PROXY_TIMEOUT = 1.8
"""s without an asking after which a proxy is not named to callers any more."""
KEY_LOAD_WINDOW = 4.0
"""s over which the load of keys is counted: long enough for a mean, short enough for a rush."""
KEY_LOAD_MIN_COUNT = 0.05
"""requests left of a bucket's count, as it fades, under which it is forgotten."""
ZONE_HOLD_DOWN_SHORT = 5.0
"""s of a zone's hold where a deployment asks for service within seconds of a return: twice its longest flap."""
GOSSIP_STARTUP_HEARTBEATS = 4
"""heartbeats after its start in which a daemon tells the seeds its whole peer table each time."""
GOSSIP_SEED_HEARTBEATS = 8
"""heartbeats between two tellings of the whole peer table to seeds that are not among the living."""
SAME_ZONE_CONTROLLER_WAIT = 0.4
"""s after its start that a proxy waits for a controller of its own zone before it follows another's lists: a few round
trips."""
KEY_WAIT_RATIO = 0.6
"""of a route's target that a request may wait for its key, which is on its way to another worker or about to be."""
CONCURRENCY_WINDOW_INITIAL = 3.0
"""requests that a proxy has open at a worker at the most before it has shown its pace."""
CONCURRENCY_WINDOW_MAX = 6.0
"""requests that a proxy ever has open at a worker at once."""
CONCURRENCY_WINDOW_MIN = 2
"""requests that a proxy may have open at a worker that is not queueing, however many proxies there are."""
CONCURRENCY_SHARE_FACTOR = 3
"""times its even part that a proxy may have open at a worker: its callers come in clumps, those of others at other
moments."""
CONCURRENCY_WINDOW_INCREASE = 0.5
"""requests more for each answer at a calm pace."""
CONCURRENCY_WINDOW_DECREASE = 0.7
"""of the window that is left after an answer at the pace of a queue."""
LATENCY_QUEUEING_RATIO = 2.2
"""times its calm pace from which a worker is taken to be queueing."""
LATENCY_BASELINE_DRIFT = 1.02
"""times its calm pace that a worker's calm may rise with each answer: it may have become slower for good."""
KEY_OWNER_RETRY_RATIO = 1.5
"""of a route's target after which a key's owner that is silent is asked once more."""
MAX_SPEED_RATIO = 3.0
"""times slower or faster than its service's mean that a worker is taken to be at the most."""
LOST_REQUEST_LATER_RESPONSES = 4
"""answers to requests sent later to the same worker after which one is taken to be lost there: as many as it works on
at once."""
LOST_REQUEST_LATENCY_RATIO = 3.0
"""times its worker's calm pace that a request must have been out before it counts as lost."""
REGIONAL_CONNECT_TIMEOUT = 0.25
"""s for a connection within the region to come up: a hundred round trips."""
UNREACHABLE_HINT_TTL = 1.2
"""s that a worker is passed over because others call it unreachable."""
UNREACHABLE_HINT_GRACE = 0.3
"""s since a worker's own answer in which others' word of it is not believed."""
UNREACHABLE_MIN_REPORTS = 2
"""proxies that must call a worker unreachable before others are told."""
UNREACHABLE_MIN_RATIO = 0.1
"""of all proxies that must call a worker unreachable before others are told."""
INITIAL_POLL_INTERVAL = 0.12
"""s between askings of a proxy that follows no controller yet: it serves nothing before."""
ENDPOINT_LIST_READER_TIMEOUT = 1.4
"""s without a word of the reader of the list after which a controller reads it itself: two passes and a margin."""
ENDPOINT_LIST_READERS = 2
"""controllers that may read the platform's list at a time.

The one that hashing names, and one that has just not heard of it."""
ENDPOINT_LIST_PAGE_DELAY = 0.08
"""s more between passes for each page beyond the first: a long list costs its calls, and its news are pushed at once
all the same."""
LEAVING_WORKER_MARGIN = 1.3
"""s of a leaving worker's time that may be over before a proxy hears of it: a pass, its pages, the push."""
PROXY_CHECK_INTERVAL = 0.2
"""s between two looks of a controller at its proxies: their news come with askings each half second."""
KEY_LOAD_BUCKETS = (MAX_SHARD_KEY + 1) // KEYS_PER_BUCKET
"""buckets of all keys of a divided service."""
KEY_LOAD_QUANTILES = 48
"""even parts of a load whose ends are told: ranges are cut to about a tenth of a worker's part."""
KEY_LOAD_SHIFT_RATIO = 1 / 3
"""of a load that must have come, gone or moved for it to be told again soon."""
KEY_LOAD_REPORT_MIN_INTERVAL = 0.3
"""s between two tellings of a load that is new or has shifted."""
KEY_LOAD_REPORT_INTERVAL = 1.5
"""s between two tellings of a load at rest, to the controller that places the keys."""
LATENCY_SAMPLES_KEPT = 40
"""times of a worker from which its pace is taken: some ten seconds of them."""
LATENCY_SAMPLES_SENT = 8
"""newest times of each worker that a proxy reports at once."""
LATENCY_TTL = 120.0
"""s without a time after which a worker's pace is forgotten."""
LATENCY_PRIOR_SAMPLES = 16
"""times that the middle pace of a service counts for in each worker's: a few times tell little."""
LATENCY_MAX_RATIO = 1.8
"""times the middle pace, or its inverse, that a worker's pace counts as at most."""
LATENCY_LOWER_HALF_RATIO = 0.45
"""of the mean of a worker's times that the mean of the lower half is, where they spread as measured ones do."""
REBALANCE_SATURATION_RATIO = 0.75
"""of what all workers can do, from which each has its even part: there is no choice left."""
REBALANCE_SKEW_EXPONENT = 1.2
"""by how much the power with which parts grow with what workers can do is over 1 where there is nothing to do."""
REBALANCE_SLOW_WORKER_RATIO = 0.4
"""of its even part that a slow worker has beyond what it should, from which it gives ranges away."""
