"""Constants of the daemons on the users' platform and of the edges that they use, each with its unit and reason."""

from sailward.constants.base import *

COURIER_SWEEP = 0.25
"""s between looks at message connections that do not get on."""
COURIER_DIAL = 0.6
"""s for a message connection to come up: three round trips between regions and a lost packet's pause."""
COURIER_CHUNK = 65536
"""bytes read or written at once on a message connection."""
COURIER_ALIVE = 2
"""s between probes of a message connection that is silent, and before the first."""
COURIER_PACK = 400
"""bytes from which a message is compressed: shorter ones gain little."""

OUT_IDLE = 8
"""idle connections kept for one worker: a burst's worth, far under what a worker accepts of all callers together."""
OUT_IDLE_MARGIN = 1.0
"""s before the end of a worker's own idle time from which a kept connection is no longer used: a request could cross
its close."""
OUT_IDLE_LEAST = 0.5
"""s that a connection is kept idle at least, however short the worker's idle time in whole seconds."""
OUT_HEAD_BYTES = 64 << 10
"""bytes of an answer's status line and headers."""
OUT_READ_BYTES = 128 << 10
"""bytes read from a connection at once: most answers come in one read."""
OUT_SWEEP = 0.1
"""s between looks at the calls' and idle connections' ends: one alarm for all of them."""
OUT_SHORT = 0.3
"""s. A call that may take less has an alarm of its own: the sweep would be too coarse."""

DISK_FULL_BACKOFF = 0.15
"""s that a worker which turned an exchange away as full is passed over: about one exchange's work."""
PACE_WEIGHT = 0.2
"""of the newest time in the mean of a worker's times: the last ten count."""
PROBE_FIRST = 0.3
"""s before the first probe of a worker in doubt, doubled with each miss."""
PROBE_LONGEST = 1.5
"""s between probes of a worker that stays down."""
SLOW_START_MARGIN = 0.5
"""s that a worker counts as cold beyond what is told of it: the news is late by the list's lag."""
RETRY_MARGIN = 0.7
"""of its part of the retry budget that a proxy uses, as counts of proxies lag and windows slide."""

FRONT_CONNECTIONS = 3000
"""connections that one front holds; more are closed as they come, so that descriptors are left for workers."""
FRONT_BACKLOG = 512
"""connections that wait to be accepted: a burst of callers after a neighbour's loss."""
FRONT_DEPTH = 16
"""requests of one connection that are unanswered or unwritten; with more it is not read on."""
FRONT_AHEAD_BYTES = 16 << 10
"""bytes that are read ahead of one connection with that many requests: a caller's close is seen behind them. With all
connections held at once, 47 MB."""
FRONT_SWEEP = 0.25
"""s between two looks at the connections' time limits: well under the shortest of them."""
FRONT_BODY_IDLE = 10.0
"""s between bytes of a request's body, or the limit of the head if that is longer."""
FRONT_WRITE_IDLE = 15.0
"""s without progress after which a caller that does not read its answer is dropped."""
FRONT_IDLE_GRACE = 1.0
"""s past its idle time that a connection is kept.

Callers count from the arrival of their last answer, over slow links too.
"""
FRONT_LINGER = 0.5
"""s that a closed connection is still drained, so that a reset does not overtake its last answer."""
FRONT_FRESH = 1.0
"""s that a leaving front leaves a new connection for its first request."""
FRONT_ACCEPT_BACKOFF = 0.1
"""s without accepting when the process has no descriptors left."""
FRONT_READ_BYTES = 64 << 10
"""bytes read at once: one connection does not hold up the others."""
FRONT_READS = 3
"""reads of one connection at a time: a request in two pieces and its caller's close behind it, and no more."""
FRONT_RETRY_AFTER = 0.2
"""s that a request which came too slowly is asked to wait."""
REQUEST_EXPIRY = 30.0
"""s that a request is worked on where neither the caller nor its route says."""
KEY_LAST = 65535
"""The last key of a service that is divided by number."""
PACE_START = 0.2
"""s that a worker is taken to need before it has shown its pace."""
WORKER_CAPACITY = 4
"""requests that a worker is taken to work on at once where the list does not say."""
QUEUE_DEPTH = 4
"""times its capacity that a worker is given by all proxies together: itself and a few that queue."""
SLOW_START_SENDERS = 2
"""proxies that may send to a cold worker: one may be lost, and views of the fleet may differ."""
OWNER_BACKOFF = 0.15
"""s before a key's owner that turned a request away is asked again: a grant on its way takes one call."""

GRANT_LEASE = 1.0
"""s, from the moment of asking. How long a confirmation that a key table is the newest lets its granter act on it."""
GRANT_WAIT = 0.6
"""s that a grant may take: between regions a few round trips."""
GRANT_FLIGHT = 0.5
"""s that bytes of a call that was given up may still be under way."""
GRANT_QUIET = GRANT_LEASE + GRANT_WAIT + GRANT_FLIGHT
"""s after a newer key table was held, by when nothing sent on an older one can arrive any more."""
GRANT_DURATION = 3.2
"""s that a worker holds its keys after a grant: three renewals may be lost in a row."""
GRANT_RENEW = 0.7
"""s between two grants of the same range."""
GRANT_AGAIN = 0.25
"""s before a grant or a release that failed is sent again."""
GRANT_SLOW = 1.03
"""times a hold that a worker may hold by its own slow clock (2%) and ours."""
GRANT_MARGIN = 0.1
"""s more before a hold that ran out counts as ended: alarms and the owners' steps."""
GRANT_RELEASE_WAIT = 5.0
"""s that a release may take, as it ends with what ran: over the hold, by when the range is free anyway."""
GRANT_SILENT = 1.4
"""s of failing grants (two that ran out), or of being called down, before a worker's ranges move."""
GRANT_AVOID = 10.0
"""s after its last failed grant in which a worker that was silent is given no ranges."""
GRANT_CHECK_INTERVAL = 0.1
"""s between looks at whether the key table should change, when nothing happens."""
GRANT_CHANGE_WAIT = 1.0
"""s before a change of a key table that did not show is retried."""
GRANT_TAKEOVER = 2.0
"""s that a granter named in the table is left in its place at least, so that two of differing views don't take
turns."""
GRANT_SUSTAINED = 2.0
"""s that a slight imbalance must last before ranges move for it, and between two such moves."""
GRANT_URGENT = 0.3
"""s that an imbalance of GRANT_BLAZING must last, and between two moves for it: a queue grows meanwhile."""
GRANT_BLAZING = 1.9
"""times its fair part from which a worker is relieved soon: chance alone does not do it, however few requests were
counted."""
GRANT_CALM = 0.3
"""of what a worker can do by its pace, up to which it isn't relieved unless it is blazing: it doesn't queue, and a move
has its price."""
GRANT_ROWS = 4
"""ranges a worker, on the average, over which neighbouring ranges of one owner are joined."""
GRANT_MOVES = 6
"""ranges moved at once for balance alone: keys that change hands have their price."""
GRANT_HOT = 1.35
"""times its fair part from which a worker gives ranges away."""
GRANT_IDLE = 0.5
"""times its fair part below which a worker is given ranges."""
GRANT_CHUNK = 0.25
"""of a fair part that the smallest piece given to a worker should have: keeps the number of ranges small."""
GRANT_LOAD_LEAST = 8.0
"""requests/s of a service under which its keys count as equally busy."""
KEYS_IN_BUCKET = 16
"""keys of a divided service that are counted together: one that is far busier than its neighbours stands out."""
LINE_SHARE = 0.25
"""of a route's target that a request may wait before it is sent on: what is refused later has been held."""
LEAST_LEFT = 0.02
"""s left below which nothing is sent on any more: no worker is as quick."""
MAX_UNSENT = 3
"""workers that could not be reached at all before a request is given up."""
HEDGE_LEAST = 0.25
"""s of silence before a second worker is asked, at the least."""
HEDGE_SHARE = 0.6
"""of a route's target that a worker may be silent before a second one is asked."""
HEDGE_OF_BUDGET = 0.35
"""of the retry budget's share that may go into asking a second worker: the rest is for what has failed."""
COME_BACK = {
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
POLLS_LOST = 2
"""askings without an answer after which another controller is asked in its place."""
CONTROLLER_SILENT = 1.3
"""s without an answer after which a controller's lists are not waited for any more: two askings and a round trip."""
CONTACT_TTL = 2.0
"""s, from the moment of asking, for which an answer of a majority of the voters lets a controller serve. Heartbeats
come each half second and answer the last one: calm answers are up to 1.2 s old, so one lost heartbeat is borne."""
ECHO_NUMBERS = (1 << 31) - 2
"""numbers by which heartbeats are answered: as many as fit into four bytes."""
CONTACT_ANNOUNCED = 1.2
"""s since its last heartbeat in which another controller is believed to have contact: two heartbeats and a way
between regions. Where nothing has come since a cut, contact ends later than this, so operators aren't sent behind
it."""
OPERATOR_PATIENCE = 0.7
"""s that an operator waits for a majority: he asks another controller after one second of silence, and comes back
sooner if told."""
CONTROLLERS_NAMED = 12
"""other controllers that one without contact names to a proxy: more than may be lost at once, and few bytes."""
LAST_RESORT_AFTER = 2.5
"""s without an answer of a controller in contact with a majority, after which a proxy follows one without: long
enough to ask all that it knows twice, short against the time that workers serve on an old list."""
CONTROLLERS_POLLED = 2
"""controllers that a proxy asks: one may be lost without a gap in the pushes."""
JOURNAL_SHOWN = 60
"""events that are written out when an owner ends by a fault: the last seconds of it."""
OPERATOR_WAIT = 10.0
"""s in which an operator's request line and headers must be whole."""

LIST_SHARE = 0.45
"""of the platform's rate of calls that all readers of its list together use: the rest is for starts and for others."""
LIST_BACKOFF = 2.0
"""s between passes over the list at the longest while passes fail: its news must still come in time."""
LIST_PAGES = 400
"""pages of one pass: a list with more goes in circles."""
GONE_TTL = 5.0
"""s that a worker which went from one teller's list is not believed to be back by another's: lists lag by a pass or
two."""
LEFT_TTL = 600.0
"""s that the leaving of a worker which is on no list any more is remembered."""
SLOW_START_RISE = 0.4
"""s by which a worker's told cold time must be over the expected one to be news: it counts down by itself."""
HISTORY_SEGMENT = 256
"""changes in one segment of a labelled configuration's history, 3 kB: two minutes at three changes a second."""
HISTORY_SEGMENTS = 2
"""segments of the history: one that fills, and a full one before it. So 256 to 512 changes are known when they are
sent again."""
ORDER_READ_WAIT = 1.0
"""s that an order on a zone may wait before its change is begun: its operator has gone to another daemon by then,
and a copy that begins later could undo what was ordered since."""
ORDER_TURNS = 5
"""times that an operators' change is tried on top of what others changed meanwhile, before its operator is asked
to come back."""
JOIN_WAIT = 6.0
"""s that a new voter may take to copy before another one is brought in for it, where the core founded itself."""
HANDOVER_WAIT = 4.0
"""s that a voter which was told to stop waits until another has its place: within the shortest grace, 6 s."""
REPAIR_TURN = 0.6
"""s that each voter leaves the ones named before it to begin a repair, where the core founded itself."""
REPAIR_AGAIN = 1.0
"""s before a change of the voters that did not show is retried, where the core founded itself."""
WAITING_POLL_INTERVAL = 2.0
"""s between askings for news of a controller that waits and knows the voters, where the core founded itself."""
CONFIRM_EVERY = 0.35
"""s between two askings of the voters by a controller that grants keys.

Two fit into GRANT_LEASE with a round trip between regions."""
FLEET_EVERY = 2.0
"""s between two tellings of a controller's proxies to the others where nothing changed: the loads of keys."""
FLEET_LEAST = 0.2
"""s between two such tellings where something changed."""
FLEET_TTL = 5.0
"""s that another controller's word of its proxies counts: if it is lost, they ask another within that time."""
PROXY_SILENT = 1.8
"""s without an asking after which a proxy is not named to callers any more."""
LOAD_SPAN = 4.0
"""s over which the load of keys is counted: long enough for a mean, short enough for a rush."""
LOAD_LEAST = 0.05
"""requests left of a bucket's count, as it fades, under which it is forgotten."""
ZONE_HOLD_DOWN_SHORT = 5.0
"""s of a zone's hold where a deployment asks for service within seconds of a return: twice its longest flap."""
MESH_FIRST = 4
"""heartbeats after its start in which a daemon tells the seeds its whole peer table each time."""
MESH_SEEDS = 8
"""heartbeats between two tellings of the whole peer table to seeds that are not among the living."""
LEAD_WAIT = 0.4
"""s after its start that a proxy waits for a controller of its own zone before it follows another's lists: a few round
trips."""
KEY_SHARE = 0.6
"""of a route's target that a request may wait for its key, which is on its way to another worker or about to be."""
WINDOW_FIRST = 3.0
"""requests that a proxy has open at a worker at the most before it has shown its pace."""
WINDOW_MOST = 6.0
"""requests that a proxy ever has open at a worker at once."""
WINDOW_LEAST = 2
"""requests that a proxy may have open at a worker that is not queueing, however many proxies there are."""
WINDOW_PARTS = 3
"""times its even part that a proxy may have open at a worker: its callers come in clumps, those of others at other
moments."""
WINDOW_MORE = 0.5
"""requests more for each answer at a calm pace."""
WINDOW_LESS = 0.7
"""of the window that is left after an answer at the pace of a queue."""
PACE_QUEUED = 2.2
"""times its calm pace from which a worker is taken to be queueing."""
CALM_DRIFT = 1.02
"""times its calm pace that a worker's calm may rise with each answer: it may have become slower for good."""
REPEATED_POLL_SHARE = 1.5
"""of a route's target after which a key's owner that is silent is asked once more."""
SPEED_SPAN = 3.0
"""times slower or faster than its service's mean that a worker is taken to be at the most."""
OVERTAKEN = 4
"""answers to requests sent later to the same worker after which one is taken to be lost there: as many as it works on
at once."""
OVERTAKEN_PACES = 3.0
"""times its worker's calm pace that a request must have been out before it counts as lost."""
DIAL_NEAR = 0.25
"""s for a connection within the region to come up: a hundred round trips."""
HINT_TTL = 1.2
"""s that a worker is passed over because others call it unreachable."""
HINT_UNCERTAIN_AFTER = 0.3
"""s since a worker's own answer in which others' word of it is not believed."""
DOWN_LEAST = 2
"""proxies that must call a worker unreachable before others are told."""
DOWN_SHARE = 0.1
"""of all proxies that must call a worker unreachable before others are told."""
FIRST_POLL_DELAY = 0.12
"""s between askings of a proxy that follows no controller yet: it serves nothing before."""
LIST_SILENT = 1.4
"""s without a word of the reader of the list after which a controller reads it itself: two passes and a margin."""
LIST_READERS = 2
"""controllers that may read the platform's list at a time.

The one that hashing names, and one that has just not heard of it."""
LIST_PACE = 0.08
"""s more between passes for each page beyond the first: a long list costs its calls, and its news are pushed at once
all the same."""
LEAVING_MARGIN = 1.3
"""s of a leaving worker's time that may be over before a proxy hears of it: a pass, its pages, the push."""
FLEET_CHECK_INTERVAL = 0.2
"""s between two looks of a controller at its proxies: their news come with askings each half second."""
LOAD_BUCKETS = (KEY_LAST + 1) // KEYS_IN_BUCKET
"""buckets of all keys of a divided service."""
LOAD_PARTS = 48
"""even parts of a load whose ends are told: ranges are cut to about a tenth of a worker's part."""
LOAD_SHIFT = 1 / 3
"""of a load that must have come, gone or moved for it to be told again soon."""
LOADS_LEAST = 0.3
"""s between two tellings of a load that is new or has shifted."""
LOADS_EVERY = 1.5
"""s between two tellings of a load at rest, to the controller that places the keys."""
PACES_CACHED = 40
"""times of a worker from which its pace is taken: some ten seconds of them."""
PACES_SENT = 8
"""newest times of each worker that a proxy reports at once."""
PACE_TTL = 120.0
"""s without a time after which a worker's pace is forgotten."""
PACE_SURE = 16
"""times that the middle pace of a service counts for in each worker's: a few times tell little."""
PACE_APART = 1.8
"""times the middle pace, or its inverse, that a worker's pace counts as at most."""
PACE_OF_MEAN = 0.45
"""of the mean of a worker's times that the mean of the lower half is, where they spread as measured ones do."""
GRANT_FULL = 0.75
"""of what all workers can do, from which each has its even part: there is no choice left."""
GRANT_LEAN = 1.2
"""by how much the power with which parts grow with what workers can do is over 1 where there is nothing to do."""
GRANT_SLOW_PART = 0.4
"""of its even part that a slow worker has beyond what it should, from which it gives ranges away."""
