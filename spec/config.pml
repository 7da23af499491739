/*
 * Adoption of configurations by NODES processes.
 *
 * A configuration is a number: version * 2 + content. Operators publish up to
 * MAXVERSION versions. Two operators may publish two contents under one
 * version; the higher number, which stands for the higher hash, must win in
 * every process. Until the platform has recovered (healed), it returns any
 * configuration that was ever published, possibly a stale one, or does not
 * answer. Processes lose their state on a restart. A partition separates
 * process 0 from the others.
 *
 * Each macro removes one rule. The check must then fail.
 *   ADOPT_LOWER     a process adopts any configuration that it receives
 *   NO_PEERS        a starting process adopts the platform's answer without
 *                   asking its peers
 *   NO_TIEBREAK     a process keeps the first content it sees for a version
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
byte highest;          /* the configuration that all must adopt */
bool published[8];
bool partitioned, healed;
byte restarts;

#define connected(a, b) (!partitioned || (a != 0 && b != 0))
#define version(c) (c / 2)

/* The configuration of a running process never goes back to a lower one. */
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

/* A starting process adopts the highest of the platform's answer and the
 * configurations of the peers that it reaches. It cannot detect a stale answer
 * if it reaches no peer, so the assertion covers only the configurations of
 * reachable peers. */
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
	/* A read or watch of the platform, which may return a stale result. */
	:: atomic { adopted[n] != NONE && !healed ->
		if
		:: published[2] -> consider(n, 2)
		:: published[3] -> consider(n, 3)
		:: published[4] -> consider(n, 4)
		:: published[5] -> consider(n, 5)
		fi }
	/* Only process NODES-1 reads from the recovered platform. */
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
	:: atomic { c % 2 == 0 && c > 2 && c < 2 * (MAXVERSION + 1) -> /* only one content for this version */
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

/* Keeps every run infinite, so that a process that is stuck appears as a cycle
 * that never converges. */
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
