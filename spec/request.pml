/*
 * One request with a ticket that may not be repeated.
 *
 * The caller sends the request up to ATTEMPTS times, each through a holder of
 * its own. A message is a bit that is set once and may be read any number of
 * times, at any time or never: this covers loss, duplication, reordering and
 * pauses. The table of the home moves to a successor at a planned stop; a
 * home or a holder may also die.
 *
 * Each macro below removes one rule; the check must then fail.
 *   NO_INCARNATION_CHECK  a restarted home accepts tickets of its predecessor
 *   NO_FREEZE             a home goes on granting after it took the snapshot
 *   RETRY_UNKNOWN         a holder runs again after an answer was lost
 *   FORGET_EXPIRED        an expired record is dropped and the ticket accepted
 *   NO_CLOSE              a refusal leaves the ticket usable
 *   LATE_GRANT            a holder uses a grant after it gave up waiting
 *   GRANT_TWICE           a home grants while another attempt holds the grant
 *   DONE_UNCHECKED        a home answers Done for a grant without an answer
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

/* Table of the home (0) and of its successor (1). */
mtype state[HOMES] = Unused;
byte by[HOMES] = NOBODY;
bool barred0[ATTEMPTS], barred1[ATTEMPTS];
bool decides[HOMES];
bool snapshotTaken, dead;
mtype snapState = Unused;
byte snapBy = NOBODY;
bool snapBarred[ATTEMPTS];

/* What happened. */
byte runs;
bool toldNotRun;

inline run_once() {
	atomic {
		runs++;
		assert(runs <= 1);
		assert(!toldNotRun);
	}
}

inline tell_not_run() {
	atomic {
		assert(runs == 0);
		toldNotRun = true;
	}
}

inline tell_answer() {
	assert(runs == 1);
}

proctype Holder(byte a) {
	claim[a] = true;
	if
	:: granted[a] -> goto holds
	:: busy[a] -> goto unknown
	:: done[a] -> tell_answer(); goto end
	:: closed[a] -> tell_not_run(); goto end
	:: true -> /* timeout, or the holder died */
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
	:: true -> goto end /* the holder dies before it runs the request */
	:: true -> /* no capacity here or at any peer */
		releaseFinal[a] = true;
		tell_not_run();
		goto end
	:: true -> run_once()
	fi;
	if
	:: true -> complete[a] = true; tell_answer()
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
		state[h] = Granted; by[h] = a; granted[a] = true
	:: state[h] == Unused && isBarred(h, a) -> busy[a] = true
	:: state[h] == Granted && by[h] == a -> granted[a] = true
	:: state[h] == Granted && by[h] != a ->
#ifdef GRANT_TWICE
		by[h] = a; granted[a] = true
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
	:: state[h] == Granted && by[h] == a -> state[h] = Unused; by[h] = NOBODY
	:: else
	fi
}

inline on_final_release(h, a) {
	if
	:: state[h] == Granted && by[h] == a ->
#ifdef NO_CLOSE
		state[h] = Unused; by[h] = NOBODY;
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
	:: state[h] == Granted && by[h] == a -> state[h] = Done
	:: else
	fi
}

inline expire(h) {
#ifdef FORGET_EXPIRED
	state[h] = Unused; by[h] = NOBODY
#else
	state[h] = Expired
#endif
}

/* Takes any message that has been sent, again and again. */
proctype Home(byte h) {
	byte a;
end:
	do
	:: atomic {
		decides[h];
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

/* Planned stop of the home, its death, and its restart without memory. */
proctype Lifecycle() {
	byte i;
	if
	:: true -> goto end /* nothing happens */
	:: true -> /* the home dies */
		atomic {
			decides[0] = false;
			dead = true;
#ifdef NO_INCARNATION_CHECK
			state[0] = Unused; by[0] = NOBODY;
			decides[0] = true
#endif
		}
		goto end
	:: true -> /* planned stop: freeze and snapshot */
		atomic {
#ifndef NO_FREEZE
			decides[0] = false;
#endif
			snapState = state[0]; snapBy = by[0];
			i = 0;
			do
			:: i < ATTEMPTS -> snapBarred[i] = barred0[i]; i++
			:: else -> break
			od;
			i = 0;
			snapshotTaken = true
		}
	fi;
	if
	:: true -> goto end /* the snapshot is lost and the home dies */
	:: true ->
		atomic {
			state[1] = snapState; by[1] = snapBy;
			i = 0;
			do
			:: i < ATTEMPTS -> barred1[i] = snapBarred[i]; i++
			:: else -> break
			od;
			decides[1] = true
		}
	fi;
end:
	skip
}

init {
	byte i;
	atomic {
		decides[0] = true;
		run Home(0);
		run Home(1);
		run Lifecycle();
		do
		:: i < ATTEMPTS -> run Holder(i); i++
		:: else -> break
		od
	}
}
