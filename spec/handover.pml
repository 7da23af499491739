/*
 * Hand-over of one request that is not repeatable and has no ticket.
 *
 * The agent that owns the request asks both peers for a slot and sends the
 * request to a peer that granted one. It may send the request to the other peer
 * only after a NotRun answer. Control datagrams (reserve, grant) are bits that
 * may be read any number of times or never. The request is sent over a QUIC
 * stream: it arrives at most once, possibly late, and its answer may be lost
 * when the connection or the peer fails. Grants may expire and peers may start
 * to drain at any time.
 *
 * Each macro removes one rule. The check must then fail.
 *   RETRY_AFTER_LOST     the owner tries the other peer after a lost answer
 *   NOT_RUN_ON_TIMEOUT   the owner reports NotRun if it receives no answer
 *   RUN_AFTER_REFUSAL    a peer runs a request that it refused
 *   RUN_LOCALLY_TOO      the owner runs the request when a local slot is
 *                        free, although it has sent it to a peer
 *   GRANT_UNCHECKED      a peer runs a request without a valid grant, also
 *                        while it is draining
 */
#define PEERS 2

bool reserve[PEERS], grant[PEERS];
bool grantValid[PEERS], draining[PEERS];
chan request[PEERS] = [1] of { bool };
bool ranAnswer[PEERS], notRunAnswer[PEERS];
byte runs;
bool reportedNotRun, localSlotFree;

inline run_once() {
	atomic {
		runs++;
		assert(runs <= 1);
		assert(!reportedNotRun)
	}
}

inline report_not_run() {
	atomic {
		assert(runs == 0);
		reportedNotRun = true
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
		:: true -> skip /* the answer is lost or the peer fails */
		fi
	od
}

proctype Owner() {
	byte p, sent;
	bool tried[PEERS];
	reserve[0] = true;
	reserve[1] = true;
again:
	if
	:: localSlotFree && sent == 0 -> run_once(); goto end
	:: grant[0] && !tried[0] -> p = 0
	:: grant[1] && !tried[1] -> p = 1
	:: true -> goto refuse /* the deadline has passed or there is no grant */
	fi;
	tried[p] = true;
	sent++;
	request[p]!true;
	if
	:: notRunAnswer[p] -> goto again
	:: ranAnswer[p] -> assert(runs == 1); goto end
#ifdef RUN_LOCALLY_TOO
	:: localSlotFree -> run_once(); goto end
#endif
	:: true -> /* the connection is lost or the deadline has passed */
#ifdef RETRY_AFTER_LOST
		goto again
#else
#ifdef NOT_RUN_ON_TIMEOUT
		goto refuse
#else
		goto end /* outcome unknown */
#endif
#endif
	fi;
refuse:
	report_not_run();
end:
	skip
}

proctype LocalTarget() {
end:
	do
	:: atomic { !localSlotFree -> localSlotFree = true }
	:: atomic { localSlotFree -> localSlotFree = false }
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
