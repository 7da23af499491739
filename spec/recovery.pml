/*
 * When a searcher may reset a flow that it does not know after VMs were lost.
 *
 * Target 0 is the only one that may hold the flow: either it has held it from the
 * beginning, or the flow opens during the run. The VM of an agent may be lost with
 * its target, an agent may be killed while its target lives on, and the entry of a
 * target may be removed, so that no view names it. An agent that starts does not
 * know what its target holds (doubt), unless its target is fresh: it started with
 * the agent, or nothing listened when the agent looked. An agent in no doubt knows
 * every flow of its target.
 *
 * The searcher gets packets of the flow. For each it asks all agents for lists, or
 * takes part in a round that began after the packet arrived. An agent that is not
 * in doubt lists what its target holds at that moment, and names the agents that
 * it hears and the view lacks. An agent in doubt gives no list. The flow is reset
 * if every agent has given a list and none has the flow. Otherwise the flow is
 * searched for by the rules of ownership.pml.
 *
 * It is assumed that somebody knows or hears an agent whose target holds the flow:
 * a view names it, or names it as removed, or it runs and is heard. An agent that no
 * view names and that is killed while all that knew it are lost is not known to
 * anybody, and no rule helps its flows.
 *
 * Property: a flow that target 0 holds is not reset.
 *
 * Each macro removes one rule. The check must then fail.
 *   FRESH_ON_RESTART  an agent that was killed alone takes its target for fresh
 *   EARLIER_LIST      lists count that were given before the packet arrived
 *   FLAG_ONLY         an agent that has told once that its target is fresh is not
 *                     asked any more
 *   NO_ANSWER         an agent that does not answer counts as one without the flow
 *   LISTED_ONLY       agents that the view does not name are not asked, though
 *                     another agent hears them
 *   PARTIAL_LIST      a list that is cut off counts
 */
#define AGENTS 3
#define EVENTS 4
#define PACKETS 2

bool up[AGENTS], doubt[AGENTS], listed[AGENTS];
/* knows says that agent 0 knows the flow, holds that its target holds it. */
bool knows, holds;
/* fresh is what the searcher has heard, packet that a packet has arrived whose
 * round has not ended. */
bool fresh[AGENTS], packet;
/* answered and denied are the answers in the round, round says that one runs. */
bool answered[AGENTS], round;

/* A VM is lost and comes back: target and agent start together. */
inline lose_vm(a) {
	up[a] = true; doubt[a] = false;
	if
	:: a == 0 -> holds = false; knows = false; packet = false; round = false
	:: else
	fi
}

/* An agent is killed and starts again beside its target. */
inline restart(a) {
	up[a] = true;
#ifdef FRESH_ON_RESTART
	doubt[a] = false;
#else
	doubt[a] = true;
#endif
	if
	:: a == 0 -> knows = false
	:: else
	fi
}

proctype Events() {
	byte events, a;
	do
	:: events < EVENTS -> atomic {
		events++;
		a = 0;
		do
		:: a < AGENTS - 1 -> a++
		:: break
		od;
		if
		:: lose_vm(a)
		:: up[a] = false
		:: restart(a)
		:: listed[a] = false
		/* The agent tells the searcher whether its target is fresh. */
		:: up[a] -> fresh[a] = !doubt[a]
		fi
	}
	/* The flow opens at target 0. Packets of the flow come only after that. */
	:: atomic { up[0] && !holds && !packet && !round -> holds = true; knows = true }
	:: events == EVENTS -> break
	od
}

inline ask(a) {
	if
	:: answered[a] -> skip
#ifdef FLAG_ONLY
	:: !answered[a] && fresh[a] -> answered[a] = true
#endif
	:: !answered[a] && up[a] && !doubt[a] && !(a == 0 && knows) -> answered[a] = true
#ifdef PARTIAL_LIST
	:: !answered[a] && up[a] && !doubt[a] && a == 0 && knows -> answered[a] = true
#endif
#ifdef NO_ANSWER
	:: !answered[a] && !up[a] -> answered[a] = true
#endif
	:: else -> skip
	fi
}

inline forget_answers() {
	i = 0;
	do
	:: i < AGENTS -> answered[i] = false; i++
	:: else -> break
	od
}

proctype Searcher() {
	byte packets, i;
	bool complete;
	do
	:: packets < PACKETS -> atomic {
		/* A packet of a flow that target 0 holds, or held. */
		packets++;
		packet = true;
		round = true;
#ifndef EARLIER_LIST
		forget_answers()
#endif
	}
	:: atomic { round -> ask(0) }
	:: atomic { round -> ask(1) }
	:: atomic { round -> ask(2) }
#ifdef EARLIER_LIST
	:: atomic { !round -> ask(0) }
	:: atomic { !round -> ask(1) }
	:: atomic { !round -> ask(2) }
#endif
	:: atomic {
		round ->
		/* Any agent that was asked hears one that is up and not listed. */
		complete = true;
		i = 0;
		do
		:: i < AGENTS ->
			if
#ifdef LISTED_ONLY
			:: listed[i] && !answered[i] -> complete = false
#else
			:: !answered[i] -> complete = false
#endif
			:: else
			fi;
			i++
		:: else -> break
		od;
		if
		:: complete -> assert(!holds)
		:: else
		fi;
		round = false;
		packet = false;
		forget_answers()
	}
	:: packets == PACKETS && !round -> break
	od
}

init {
	atomic {
		byte i = 0;
		do
		:: i < AGENTS -> up[i] = true; listed[i] = true; i++
		:: else -> break
		od;
		if
		:: holds = true; knows = true
		:: skip
		fi;
		run Events();
		run Searcher()
	}
}
