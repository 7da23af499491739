/*
 * Transfer of an agent's flow table over its restarts.
 *
 * An agent runs RUNS times, one run after the other. Its target lives on and holds
 * the flows that were opened through the agent: opened counts them, knows counts
 * those that the present run knows. A run that starts claims its table from all
 * keepers. It then opens flows, and ends: it is killed, or it stops and sends its
 * table to two keepers. A transfer may be cut off or arrive at any later time, even
 * after the next run has started. At each time one keeper at most is cut off: it
 * gets no claim. The answer of any keeper may be lost after it has recorded the
 * claim. A run repeats its claims until it is killed, but it need not get that far.
 *
 * A keeper has one table, gives it only to the first run that claims it, and
 * remembers which runs have claimed. A table names the earlier runs that its agent
 * knew. A run uses a table only if more than half of the keepers have answered, and
 * none of them knows another run that the table does not name. A run without a
 * table is in doubt about all flows that it does not know. A run that is killed by
 * then has opened nothing: it takes flows only after its first claims.
 *
 * Property: a run that is not in doubt knows all flows that the target holds.
 *
 * Each macro removes one rule. The check must then fail.
 *   NO_RUNS        keepers do not remember which runs have claimed
 *   FIRST_ANSWER   a run uses a table although few keepers have answered
 *   GIVE_AGAIN     a keeper gives its table to any run, and the run does not check
 *                  for later runs
 *   NO_NAMES       a table is used although a keeper knows a run that it does not
 *                  name
 *   PART           a transfer that was cut off counts as a table
 *   PASS_ON        the agent opens flows after it has exported its table
 *   NO_DOUBT       the doubt of a run does not travel with its table
 *   TWO_CUT        two keepers may be cut off at a time (the assumption is needed)
 */
#define RUNS 3
#define KEEPERS 3
#define FLOWS 2
#define NONE 0

#if defined(NO_NAMES) || defined(GIVE_AGAIN)
#define NAMED true
#else
#define NAMED covers(bestNames | bit(self), known)
#endif

#define bit(r) (1 << (r))
#define covers(mask, known) (((known) & ~(mask)) == 0)

/* Tables at keepers: the run, 0 for none; its flows; whether it was in doubt; the
 * runs that it names, with itrun; and the run that has claimed it. */
byte tableRun[KEEPERS], tableFlows[KEEPERS], tableNames[KEEPERS], claimedBy[KEEPERS];
bool tableDoubt[KEEPERS];
/* Runs that have claimed at a keeper, as bits. */
byte runsKnown[KEEPERS];
/* Transfers on their way. */
byte sentRun[KEEPERS], sentFlows[KEEPERS], sentNames[KEEPERS];
bool sentDoubt[KEEPERS];
/* Which keepers are cut off. */
bool cut[KEEPERS];
byte opened, knows;
bool inDoubt;

inline choose_keeper(k) {
	k = 0;
	do
	:: k < KEEPERS - 1 -> k++
	:: break
	od
}

/* Cuts off at most one keeper, until the next choice. */
inline choose_cut() {
	i = 0;
	do
	:: i < KEEPERS -> cut[i] = false; i++
	:: else -> break
	od;
#ifdef TWO_CUT
	if
	:: choose_keeper(i); cut[i] = true
	:: skip
	fi;
#endif
	if
	:: choose_keeper(i); cut[i] = true
	:: skip
	fi;
	i = 0
}

/* The network delivers transfers, at any time or never. */
active proctype Network() {
	byte k;
	end: do
	:: atomic {
		choose_keeper(k);
		if
		:: sentRun[k] != NONE ->
			if
			:: covers(sentNames[k], runsKnown[k]) && (tableRun[k] == NONE || covers(sentNames[k], bit(tableRun[k]))) ->
				tableRun[k] = sentRun[k]; tableFlows[k] = sentFlows[k]; tableNames[k] = sentNames[k];
				tableDoubt[k] = sentDoubt[k]; claimedBy[k] = NONE
			:: else
			fi;
			sentRun[k] = NONE; sentFlows[k] = 0; sentNames[k] = 0; sentDoubt[k] = false
		:: sentRun[k] != NONE -> /* cut off */
			sentRun[k] = NONE; sentFlows[k] = 0; sentNames[k] = 0; sentDoubt[k] = false
#ifdef PART
		:: sentRun[k] != NONE && sentFlows[k] > 0 ->
			tableRun[k] = sentRun[k]; tableFlows[k] = sentFlows[k] - 1; tableNames[k] = sentNames[k];
			tableDoubt[k] = sentDoubt[k]; claimedBy[k] = NONE; sentRun[k] = NONE
#endif
		:: else
		fi;
		k = 0
	}
	od
}

active proctype Agent() {
	byte self = 1, names, known, k, i;
	byte bestRun, bestFlows, bestNames;
	bool bestDoubt, answered[KEEPERS], missing;
	/* The first run starts with its target. */
	names = bit(1);
	do
	:: self > RUNS -> break
	:: self <= RUNS ->
		/* Claims. */
		if
		:: self == 1 -> inDoubt = false
		:: self > 1 ->
			atomic {
				knows = 0; inDoubt = true; known = 0; names = bit(self); bestRun = NONE; k = 0;
				do
				:: k < KEEPERS -> answered[k] = false; k++
				:: else -> break
				od;
				k = 0;
				choose_cut()
			}
			do
			:: i < KEEPERS -> atomic {
				if
				:: !cut[i] ->
					/* The keeper records the claim and answers. */
					if
#ifdef GIVE_AGAIN
					:: tableRun[i] != NONE && tableRun[i] != self ->
#else
					:: tableRun[i] != NONE && tableRun[i] != self && (claimedBy[i] == NONE || claimedBy[i] == self) ->
#endif
						claimedBy[i] = self;
						if
						:: true -> /* the answer arrives */
							answered[i] = true;
							known = known | (runsKnown[i] & ~bit(self)) | bit(tableRun[i]);
							names = names | tableNames[i] | (runsKnown[i] & ~bit(self));
							if
							:: bestRun == NONE || covers(tableNames[i], bit(bestRun)) ->
								bestRun = tableRun[i]; bestFlows = tableFlows[i]; bestNames = tableNames[i]; bestDoubt = tableDoubt[i]
							:: else
							fi
						:: true -> skip /* the answer is lost */
						fi
					:: else ->
						if
						:: true ->
							answered[i] = true;
							known = known | (runsKnown[i] & ~bit(self));
							names = names | (runsKnown[i] & ~bit(self))
						:: true -> skip
						fi
					fi;
#ifndef NO_RUNS
					runsKnown[i] = runsKnown[i] | bit(self)
#endif
				:: else
				fi;
				i++
			}
			:: else -> break
			od;
			/* More than half of the keepers must have answered in time. */
			atomic {
				missing = false; i = 0; k = 0;
				do
				:: i < KEEPERS ->
					if
					:: !answered[i] -> k++
					:: else
					fi;
					i++
				:: else -> break
				od;
#ifndef FIRST_ANSWER
				missing = 2 * k > KEEPERS;
#endif
				if
				:: bestRun != NONE && !missing && NAMED ->
					knows = bestFlows; inDoubt = bestDoubt
				:: else
				fi;
				bestRun = 0; bestFlows = 0; bestNames = 0; bestDoubt = 0; known = 0; missing = false; k = 0; i = 0;
				do
				:: i < KEEPERS -> answered[i] = false; i++
				:: else -> break
				od;
				choose_cut()
			}
		fi;
		assert(inDoubt || knows == opened);
		/* Flows are opened, and claims are repeated. */
		do
		:: opened < FLOWS -> atomic { opened++; knows++ }
		:: self > 1 -> atomic {
			choose_keeper(k);
			if
			:: !cut[k] ->
				names = names | (runsKnown[k] & ~bit(self));
#ifndef NO_RUNS
				runsKnown[k] = runsKnown[k] | bit(self)
#endif
			:: else
			fi;
			k = 0
		}
		:: break
		od;
		/* The run ends. */
		if
		:: skip /* killed */
		:: atomic {
			/* Planned stop: two of the keepers get the table. */
			choose_keeper(k);
			i = 0;
			do
			:: i < KEEPERS ->
				if
				:: i != k ->
					sentRun[i] = self; sentFlows[i] = knows; sentNames[i] = names;
#ifdef NO_DOUBT
					sentDoubt[i] = false
#else
					sentDoubt[i] = inDoubt
#endif
				:: else
				fi;
				i++
			:: else -> break
			od
		}
#ifdef PASS_ON
		if
		:: opened < FLOWS -> atomic { opened++; knows++ }
		:: skip
		fi
#endif
		fi;
		self++
	od
}
