/*
 * Adoption of configurations by NODES processes.
 *
 * A configuration is a number: version * 2 + content. Operators publish up to
 * MAXVERSION versions; two operators may publish two contents under one
 * version, of which the higher number (the higher hash) must win everywhere.
 * The platform answers with anything ever published (stale) or not at all,
 * until it is healed. Processes restart without memory. A partition cuts
 * process 0 off from the others while it lasts.
 *
 * Each macro removes one rule; the check must then fail.
 *   ADOPT_LOWER     a process adopts whatever the platform answers
 *   NO_PEERS        a starting process serves what the platform gave, without
 *                   asking its peers
 *   NO_TIEBREAK     the first content seen under a version is kept
 *   NO_EXCHANGE     processes do not exchange versions with their peers
 */
#define NODES 3
#define NONE 0

#ifndef MAXVERSION
#define MAXVERSION 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

byte adopted[NODES];   /* configuration in force, NONE while starting */
byte highest;          /* the configuration that must win */
bool published[8];
bool partitioned, healed;
byte restarts;

#define connected(a, b) (!partitioned || (a != 0 && b != 0))
#define version(c) (c / 2)

/* Within the life of a process the configuration never goes back. */
inline consider(n, c) {
	known = adopted[n];
	if
#ifdef ADOPT_LOWER
	:: true -> adopted[n] = c
#else
#ifdef NO_TIEBREAK
	:: version(c) > version(adopted[n]) -> adopted[n] = c
#else
	:: c > adopted[n] -> adopted[n] = c
#endif
	:: else
#endif
	fi;
	assert(adopted[n] >= known);
	known = NONE
}

/* The start: takes the highest of the platform's answer and the peers'. A
 * process that reaches no peer and gets a stale answer cannot know better; the
 * assertion covers what its reachable peers hold. */
inline start(n) {
	best = NONE;
	known = NONE;
	peer = 0;
	if
	:: !healed && published[2] -> best = 2
	:: !healed && published[3] -> best = 3
	:: !healed && published[4] -> best = 4
	:: !healed && published[5] -> best = 5
	:: healed && n == NODES - 1 -> best = highest
	:: !healed || n != NODES - 1 -> skip /* the platform gives no answer */
	fi;
	do
	:: peer < NODES ->
		if
		:: peer != n && connected(n, peer) && adopted[peer] > known -> known = adopted[peer]
		:: else
		fi;
		peer++
	:: else -> break
	od;
#ifndef NO_PEERS
	if
	:: known > best -> best = known
	:: else
	fi;
#endif
	adopted[n] = best;
	assert(best == NONE || best >= known);
	best = NONE; peer = 0; known = NONE
}

proctype Node(byte n) {
	byte peer, best, known;
end:
	do
	:: atomic { adopted[n] == NONE -> start(n) }
	/* A read or a watch of the platform, stale at will. */
	:: atomic { adopted[n] != NONE && !healed ->
		if
		:: published[2] -> consider(n, 2)
		:: published[3] -> consider(n, 3)
		:: published[4] -> consider(n, 4)
		:: published[5] -> consider(n, 5)
		fi }
	/* Process NODES-1 is a reader whose platform has recovered. */
	:: atomic { healed && n == NODES - 1 && adopted[n] != NONE && adopted[n] != highest ->
		consider(n, highest) }
#ifndef NO_EXCHANGE
	:: atomic { adopted[n] != NONE && (
			(n != 0 && connected(n, 0) && adopted[0] > adopted[n]) ||
			(n != 1 && connected(n, 1) && adopted[1] > adopted[n]) ||
			(n != 2 && connected(n, 2) && adopted[2] > adopted[n])) ->
		if
		:: n != 0 && connected(n, 0) && adopted[0] > adopted[n] -> peer = 0
		:: n != 1 && connected(n, 1) && adopted[1] > adopted[n] -> peer = 1
		:: n != 2 && connected(n, 2) && adopted[2] > adopted[n] -> peer = 2
		fi;
		consider(n, adopted[peer]);
		peer = 0 }
#endif
	od
}

proctype Environment() {
	byte c = 2;
	byte n = 0;
	do
	:: atomic { c < 2 * (MAXVERSION + 1) -> published[c] = true; highest = c; c++ }
	:: atomic { c % 2 == 0 && c > 2 && c < 2 * (MAXVERSION + 1) -> /* one content only */
		c++; published[c] = true; highest = c; c++ }
	:: atomic { !partitioned -> partitioned = true }
	:: atomic { partitioned -> partitioned = false }
	:: atomic { restarts < RESTARTS ->
		restarts++;
		do
		:: n < NODES - 1 -> n++
		:: break
		od;
		adopted[n] = NONE;
		n = 0 }
	:: atomic { published[2] -> partitioned = false; healed = true; break }
	od
}

/* Keeps every run infinite, so that a process that is stuck shows up as a
 * cycle that never converges. */
proctype Clock() {
	do
	:: true -> skip
	od
}

init {
	atomic {
		run Clock();
		run Node(0);
		run Node(1);
		run Node(2);
		run Environment()
	}
}

#define converged (adopted[0] == highest && adopted[1] == highest && adopted[2] == highest)

ltl converges { [] (healed -> <> [] converged) }
