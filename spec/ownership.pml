/*
 * Ownership of one open flow of the packet plane.
 *
 * Target 0 holds the flow. Each agent knows that its target holds it, or knows
 * that it does not, or is unsure after a restart. A packet of the caller
 * reaches any agent that is up. One that does not know the flow asks all
 * others: the owner delivers the packet, an unsure agent says so, an agent
 * that is down does not answer. If all have answered, the packet goes to all
 * unsure targets, or, if there is none, the flow is reset; otherwise it goes
 * to few unsure targets. A target that does not hold the flow returns the
 * packet, and its agent is sure then.
 *
 * An agent that answers stays up until the packet reaches it: both take about
 * a millisecond, so a search is one step here.
 *
 * Properties: a flow that a target holds is not reset, and never three packets
 * reach other targets before one reaches its own.
 *
 * Each macro removes one rule; the check must then fail.
 *   NO_BUDGET          unsure targets are all probed although some agent has
 *                      not answered
 *   RESET_EARLY        the flow is reset although some agent has not answered
 *   SURE_AFTER_RESTART a restarted agent says that it does not own the flow
 *   FORGET_ON_COPY     a late copy of the opening packet makes the owner
 *                      forget the flow
 */
#define AGENTS 4
#define RESTARTS 4
#define PACKETS 5
#define BUDGET 2
#define WRONG_MOST 3

bool up[AGENTS], knows[AGENTS], unsure[AGENTS];
byte wrong, probes, restarts;

/* The caller retransmits within the window, so that wrong deliveries add up
 * until one is right. */
inline right_delivery() { wrong = 0; probes = 0 }

inline wrong_delivery(a) {
	wrong++;
	unsure[a] = false
}

inline probe(a) {
	if
	:: a == 0 -> knows[0] = true; unsure[0] = false; delivered = true
	:: else -> wrong_delivery(a)
	fi
}

proctype Caller() {
	byte sent, a, i, answered, maybe;
	bool delivered;
	do
	:: sent < PACKETS -> atomic {
		sent++;
		delivered = false;
		a = 0;
		do
		:: a < AGENTS - 1 -> a++
		:: break
		od;
		if
		:: !up[a] -> skip /* lost */
		:: up[a] && knows[a] -> delivered = true; right_delivery()
		:: up[a] && !knows[a] ->
			answered = 0; maybe = 0; i = 0;
			do
			:: i < AGENTS ->
				if
				:: up[i] ->
					answered++;
					if
					:: knows[i] -> delivered = true
					:: !knows[i] && unsure[i] -> maybe++
					:: else
					fi
				:: else
				fi;
				i++
			:: else -> break
			od;
			if
			:: delivered -> right_delivery()
#ifdef RESET_EARLY
			:: !delivered && maybe == 0 -> assert(false)
#else
			:: !delivered && maybe == 0 && answered == AGENTS -> assert(false)
			:: !delivered && maybe == 0 && answered < AGENTS -> skip
#endif
			:: !delivered && maybe > 0 ->
				i = 0;
				do
				:: i < AGENTS ->
					if
#ifdef NO_BUDGET
					:: up[i] && unsure[i] -> probe(i)
#else
					:: up[i] && unsure[i] && answered == AGENTS -> probe(i)
					:: up[i] && unsure[i] && answered < AGENTS && probes < BUDGET -> probes++; probe(i)
					:: up[i] && unsure[i] && answered < AGENTS && probes >= BUDGET -> skip
#endif
					:: !(up[i] && unsure[i]) -> skip
					fi;
					i++
				:: else -> break
				od;
				if
				:: delivered -> right_delivery()
				:: else
				fi
			fi
		fi;
		assert(wrong < WRONG_MOST)
	}
	:: sent == PACKETS -> break
	od
}

proctype Restarts() {
	byte a;
	do
	:: restarts < RESTARTS -> atomic {
		restarts++;
		a = 0;
		do
		:: a < AGENTS - 1 -> a++
		:: break
		od;
		up[a] = false
	}
	:: atomic {
		a = 0;
		do
		:: a < AGENTS - 1 -> a++
		:: break
		od;
		if
		:: !up[a] -> up[a] = true; knows[a] = false;
#ifdef SURE_AFTER_RESTART
			unsure[a] = false
#else
			unsure[a] = true
#endif
		:: else
		fi
	}
	:: restarts == RESTARTS -> break
	od
}

/* A copy of the opening packet reaches the owner late. */
proctype Copy() {
	atomic {
		if
		:: up[0] && knows[0] ->
#ifdef FORGET_ON_COPY
			knows[0] = false
#else
			skip
#endif
		:: else
		fi
	}
}

init {
	atomic {
		byte i = 0;
		do
		:: i < AGENTS -> up[i] = true; i++
		:: else -> break
		od;
		knows[0] = true;
		run Caller();
		run Restarts();
		run Copy()
	}
}
