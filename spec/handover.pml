/*
 * Hand-over of one request that may not be repeated and carries no ticket.
 *
 * The agent that owns the request asks both peers for a slot, sends the
 * request to one that granted it, and may send it to the other one only after
 * a NotRun answer. Control datagrams (reserve, grant) are bits that may be
 * read any number of times or never. The request itself goes over a QUIC
 * stream: it arrives at most once, possibly late, and its answer may be lost
 * when the connection or the peer dies. Grants expire at any time, peers
 * drain at any time.
 *
 * Each macro removes one rule; the check must then fail.
 *   RETRY_AFTER_LOST     the owner tries the other peer after a lost answer
 *   NOT_RUN_ON_TIMEOUT   the owner reports NotRun when no answer came
 *   RUN_AFTER_REFUSAL    a peer runs a request that it refused
 *   RUN_LOCALLY_TOO      the owner runs the request when a slot frees up,
 *                        although it was sent to a peer
 *   GRANT_UNCHECKED      a peer runs a request without a valid grant, and so
 *                        also while it drains
 */
#define PEERS 2

bool reserve[PEERS], grant[PEERS];
bool grantValid[PEERS], draining[PEERS];
chan request[PEERS] = [1] of { bool };
bool ranAnswer[PEERS], notRunAnswer[PEERS];
byte runs;
bool toldNotRun, localSlot;

inline run_once() {
	atomic {
		runs++;
		assert(runs <= 1);
		assert(!toldNotRun)
	}
}

inline tell_not_run() {
	atomic {
		assert(runs == 0);
		toldNotRun = true
	}
}

proctype Peer(byte p) {
	bool admitted;
end:
	do
	:: atomic { reserve[p] && !draining[p] && !grantValid[p] ->
		grantValid[p] = true; grant[p] = true }
	:: atomic { grantValid[p] -> grantValid[p] = false /* expired */ }
	:: atomic { !draining[p] -> draining[p] = true }
	:: atomic { request[p]?_ ->
		if
		:: grantValid[p] -> grantValid[p] = false; admitted = true
#ifdef GRANT_UNCHECKED
		:: else -> skip
#else
		:: else -> notRunAnswer[p] = true;
#ifdef RUN_AFTER_REFUSAL
			admitted = true
#else
			goto end
#endif
#endif
		fi;
		assert(admitted || !draining[p]);
		admitted = false }
		run_once();
		if
		:: ranAnswer[p] = true
		:: true -> skip /* the answer is lost, or the peer dies */
		fi
	od
}

proctype Owner() {
	byte p, sent;
	bool used[PEERS];
	reserve[0] = true;
	reserve[1] = true;
again:
	if
	:: localSlot && sent == 0 -> run_once(); goto end
	:: grant[0] && !used[0] -> p = 0
	:: grant[1] && !used[1] -> p = 1
	:: true -> goto refuse /* deadline, or no grant */
	fi;
	used[p] = true;
	sent++;
	request[p]!true;
	if
	:: notRunAnswer[p] -> goto again
	:: ranAnswer[p] -> assert(runs == 1); goto end
#ifdef RUN_LOCALLY_TOO
	:: localSlot -> run_once(); goto end
#endif
	:: true -> /* the connection is lost or the deadline has passed */
#ifdef RETRY_AFTER_LOST
		goto again
#else
#ifdef NOT_RUN_ON_TIMEOUT
		goto refuse
#else
		goto end /* may have run */
#endif
#endif
	fi;
refuse:
	tell_not_run();
end:
	skip
}

proctype LocalTarget() {
end:
	do
	:: atomic { !localSlot -> localSlot = true }
	:: atomic { localSlot -> localSlot = false }
	od
}

init {
	atomic {
		run Peer(0);
		run Peer(1);
		run Owner();
		run LocalTarget()
	}
}
