/*
 * One request that is not repeatable and has a ticket.
 *
 * The caller sends the request up to ATTEMPTS times, each time through another
 * agent (the holder of that attempt). The home is the agent that decides which
 * attempt of the ticket may run. A message is a bit that is set once and may be
 * read any number of times, at any time or never. This covers loss, duplication,
 * reordering and pauses. At a planned stop, the home's table moves to a
 * successor. A home or a holder may also fail.
 *
 * Each macro below removes one rule. The check must then fail.
 *   NO_INCARNATION_CHECK  a restarted home accepts tickets of its predecessor
 *   NO_FREEZE             a home still issues grants after it took the snapshot
 *   RETRY_UNKNOWN         a holder runs the request again after a lost answer
 *   FORGET_EXPIRED        an expired record is deleted and its ticket accepted
 *   NO_CLOSE              a refusal leaves the ticket usable
 *   LATE_GRANT            a holder uses a grant after its claim timed out
 *   GRANT_TWICE           a home grants while another attempt holds the grant
 *   DONE_UNCHECKED        a home replies Done for a grant without a result
 */
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#define HOMES 2
#define NOBODY 255

mtype = { Unused, Granted, Done, Closed, Expired };

/* Messages. */
bool claim[ATTEMPTS], release[ATTEMPTS], releaseFinal[ATTEMPTS], complete[ATTEMPTS];
bool granted[ATTEMPTS], busy[ATTEMPTS], done[ATTEMPTS], closed[ATTEMPTS];

/* Tables of the home (0) and of its successor (1). */
mtype state[HOMES] = Unused;
byte grantee[HOMES] = NOBODY;
bool barred0[ATTEMPTS], barred1[ATTEMPTS];
bool deciding[HOMES];
bool snapshotTaken, dead;
mtype snapshotState = Unused;
byte snapshotGrantee = NOBODY;
bool snapshotBarred[ATTEMPTS];

/* Observed by the assertions. */
byte runs;
bool reportedNotRun;

inline run_once() {
	atomic {
		runs++;
		assert(runs <= 1);
		assert(!reportedNotRun);
	}
}

inline report_not_run() {
	atomic {
		assert(runs == 0);
		reportedNotRun = true;
	}
}

inline report_answer() {
	assert(runs == 1);
}

proctype Holder(byte a) {
	claim[a] = true;
	if
	:: granted[a] -> goto holds
	:: busy[a] -> goto unknown
	:: done[a] -> report_answer(); goto end
	:: closed[a] -> report_not_run(); goto end
	:: true -> /* the claim timed out, or the holder failed */
		release[a] = true;
#ifdef LATE_GRANT
		if
		:: granted[a] -> goto holds
		:: true -> goto unknown
		fi;
#else
		goto unknown;
#endif
	fi;
holds:
	if
	:: true -> goto end /* the holder fails before it runs the request */
	:: true -> /* neither this agent nor a peer has capacity */
		releaseFinal[a] = true;
		report_not_run();
		goto end
	:: true -> run_once()
	fi;
	if
	:: true -> complete[a] = true; report_answer()
	:: true -> /* the answer of the target or of the executing agent is lost */
#ifdef RETRY_UNKNOWN
		run_once();
#endif
		skip
	fi;
unknown:
	skip;
end:
	skip
}

#define isBarred(h, a) ((h == 0 && barred0[a]) || (h == 1 && barred1[a]))

inline on_claim(h, a) {
	if
	:: state[h] == Unused && !isBarred(h, a) ->
		state[h] = Granted; grantee[h] = a; granted[a] = true
	:: state[h] == Unused && isBarred(h, a) -> busy[a] = true
	:: state[h] == Granted && grantee[h] == a -> granted[a] = true
	:: state[h] == Granted && grantee[h] != a ->
#ifdef GRANT_TWICE
		grantee[h] = a; granted[a] = true
#else
#ifdef DONE_UNCHECKED
		done[a] = true
#else
		busy[a] = true
#endif
#endif
	:: state[h] == Done -> done[a] = true
	:: state[h] == Closed -> closed[a] = true
	:: state[h] == Expired -> busy[a] = true
	fi
}

inline on_release(h, a) {
	if
	:: h == 0 -> barred0[a] = true
	:: else -> barred1[a] = true
	fi;
	if
	:: state[h] == Granted && grantee[h] == a -> state[h] = Unused; grantee[h] = NOBODY
	:: else
	fi
}

inline on_final_release(h, a) {
	if
	:: state[h] == Granted && grantee[h] == a ->
#ifdef NO_CLOSE
		state[h] = Unused; grantee[h] = NOBODY;
		if
		:: h == 0 -> barred0[a] = true
		:: else -> barred1[a] = true
		fi
#else
		state[h] = Closed
#endif
	:: else
	fi
}

inline on_complete(h, a) {
	if
	:: state[h] == Granted && grantee[h] == a -> state[h] = Done
	:: else
	fi
}

inline expire(h) {
#ifdef FORGET_EXPIRED
	state[h] = Unused; grantee[h] = NOBODY
#else
	state[h] = Expired
#endif
}

/* Receives any message that has been sent, any number of times. */
proctype Home(byte h) {
	byte a;
end:
	do
	:: atomic {
		deciding[h];
		do
		:: a < ATTEMPTS - 1 -> a++
		:: break
		od;
		if
		:: claim[a] -> on_claim(h, a)
		:: release[a] -> on_release(h, a)
		:: releaseFinal[a] -> on_final_release(h, a)
		:: complete[a] -> on_complete(h, a)
		:: state[h] != Unused && state[h] != Expired -> expire(h)
		:: else
		fi;
		a = 0
	}
	od
}

/* Planned stop of the home, its failure, and its restart with an empty table. */
proctype Lifecycle() {
	byte i;
	if
	:: true -> goto end /* nothing happens */
	:: true -> /* the home fails */
		atomic {
			deciding[0] = false;
			dead = true;
#ifdef NO_INCARNATION_CHECK
			state[0] = Unused; grantee[0] = NOBODY;
			deciding[0] = true
#endif
		}
		goto end
	:: true -> /* planned stop: freeze and snapshot */
		atomic {
#ifndef NO_FREEZE
			deciding[0] = false;
#endif
			snapshotState = state[0]; snapshotGrantee = grantee[0];
			i = 0;
			do
			:: i < ATTEMPTS -> snapshotBarred[i] = barred0[i]; i++
			:: else -> break
			od;
			i = 0;
			snapshotTaken = true
		}
	fi;
	if
	:: true -> goto end /* the snapshot is lost and the home fails */
	:: true ->
		atomic {
			state[1] = snapshotState; grantee[1] = snapshotGrantee;
			i = 0;
			do
			:: i < ATTEMPTS -> barred1[i] = snapshotBarred[i]; i++
			:: else -> break
			od;
			deciding[1] = true
		}
	fi;
end:
	skip
}

init {
	byte i;
	atomic {
		deciding[0] = true;
		run Home(0);
		run Home(1);
		run Lifecycle();
		do
		:: i < ATTEMPTS -> run Holder(i); i++
		:: else -> break
		od
	}
}
