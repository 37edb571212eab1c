/*
 * Lease of one pool: VOTERS processes vote, the first CANDIDATES of them ask.
 * Time is discrete and all clocks run at the same rate. A holder measures the
 * term from before it asks, a voter from when it hears. A message may be lost
 * (it is never delivered), may arrive as late as it likes and in any order.
 * A process that is paused does nothing while time passes, which the
 * interleavings contain. A restarted process may live on, paused, with its
 * lease (old).
 *
 * Checked: at most LIMIT valid holders at any time. LIMIT is 1 while the lists
 * agree; with -DLISTS it is the number of disjoint majorities.
 *
 * Broken variants, one per rule:
 *   -DBROKEN_EXCLUSIVE   a voter promises to a second candidate
 *   -DBROKEN_MAJORITY    half of the votes, rounded up less one, are enough
 *   -DBROKEN_WAIT        a restarted voter promises at once
 *   -DBROKEN_MEASURE     the holder measures the term from the answer
 *   -DBROKEN_LATE        a late release ends a newer promise
 *   -DBROKEN_PROCESS     a restarted candidate renews the promise to the earlier process
 *   -DBROKEN_CHECK       a holder uses its lease without looking at the time
 *   -DBROKEN_ORDER       a holder releases before it stops
 */
#ifdef LISTS
/* Candidate 0 lists voters 0 and 1, candidate 1 lists 1 and 2, candidate 2 lists
 * only itself. {0,1} and {2} are disjoint majorities; three are impossible. */
#define VOTERS 3
#define CANDIDATES 3
#define LIMIT 2
#define LISTED(c, v) ((c) == 0 && (v) <= 1 || (c) == 1 && (v) >= 1 || (c) == 2 && (v) == 2)
#define SIZE(c) ((c) == 2 -> 1 : 2)
#define RESTARTS 1
#define RELEASES 0
#define ROUNDS(c) 1
#else
#define VOTERS 3
#define CANDIDATES 2
#define LIMIT 1
#define LISTED(c, v) 1
#define SIZE(c) 3
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef RELEASES
#define RELEASES 1
#endif
/* Candidate 0 renews or asks again, candidate 1 asks once. */
#define ROUNDS(c) ((c) == 0 -> 2 : 1)
#endif
#define TERM 2

#ifdef BROKEN_MAJORITY
#define ENOUGH(c, n) ((n) * 2 + 1 >= SIZE(c))
#else
#define ENOUGH(c, n) ((n) * 2 > SIZE(c))
#endif
#ifdef BROKEN_LATE
#define NEWER(promise, message) 1
#else
#define NEWER(promise, message) ((promise) < (message))
#endif
#ifdef BROKEN_EXCLUSIVE
#define TAKEN(c, v, i) 0
#else
#ifdef BROKEN_PROCESS
#define TAKEN(c, v, i) (left[v] > 0 && to[v] != (c))
#else
#define TAKEN(c, v, i) (left[v] > 0 && (to[v] != (c) || toinc[v] != (i)))
#endif
#endif
#ifdef BROKEN_MEASURE
#define CLOSELATE(c) skip
#else
#define CLOSELATE(c) close(c)
#endif
#define AT(c, v) ((c) * VOTERS + (v))

/* Voters: the promise, its process, the sequence of its last request, the ticks
 * left of it and of the wait after a restart. */
byte to[VOTERS], toinc[VOTERS], toseq[VOTERS], left[VOTERS], wait[VOTERS];

/* Candidates: ticks since the open round was sent, its votes, ticks left of the
 * lease. believes is used by BROKEN_CHECK. */
byte inc[CANDIDATES], seq[CANDIDATES], age[CANDIDATES], votes[CANDIDATES], held[CANDIDATES], rounds[CANDIDATES];
bool open[CANDIDATES];
#ifdef BROKEN_CHECK
bool believes[CANDIDATES];
#define BELIEVE(c, x) believes[c] = x
#define VALID(c) believes[c]
#else
#define BELIEVE(c, x) skip
#define VALID(c) (held[c] > 0)
#endif

byte restarts = RESTARTS, releases = RELEASES;
byte old; /* ticks left of the lease of a process that was replaced */

/* Messages on their way, by candidate and voter. A newer one replaces an older
 * one. Answers to earlier rounds have no effect and are left out. */
byte ask[CANDIDATES * VOTERS];  /* 0: none, else sequence number */
byte askinc[CANDIDATES * VOTERS];
bool answer[CANDIDATES * VOTERS];
byte rel[CANDIDATES * VOTERS];  /* 0: none, else sequence number */

inline close(c) {
  open[c] = 0; votes[c] = 0; age[c] = 0; k = 0;
  do :: k < VOTERS -> answer[AT(c, k)] = 0; k++ :: else -> break od
}

inline start(c) {
  close(c);
  seq[c]++; rounds[c]++; open[c] = 1; k = 0;
  do
  :: k < VOTERS ->
     if :: LISTED(c, k) -> ask[AT(c, k)] = seq[c]; askinc[AT(c, k)] = inc[c] :: else -> skip fi;
     k++
  :: else -> break
  od
}

inline hear(c, v) {
  if
  :: wait[v] > 0 || TAKEN(c, v, askinc[AT(c, v)]) -> skip
  :: else ->
     if
     :: left[v] > 0 && to[v] == c && toinc[v] == askinc[AT(c, v)] && toseq[v] > ask[AT(c, v)] -> skip
     :: else -> toseq[v] = ask[AT(c, v)]
     fi;
     to[v] = c; toinc[v] = askinc[AT(c, v)]; left[v] = TERM;
     if :: open[c] && ask[AT(c, v)] == seq[c] && askinc[AT(c, v)] == inc[c] -> answer[AT(c, v)] = 1 :: else -> skip fi
  fi;
  ask[AT(c, v)] = 0; askinc[AT(c, v)] = 0
}

inline count(c, v) {
  answer[AT(c, v)] = 0; votes[c]++;
  if
  :: ENOUGH(c, votes[c]) ->
#ifdef BROKEN_MEASURE
     held[c] = TERM; BELIEVE(c, 1);
#else
     if :: TERM > age[c] && TERM - age[c] > held[c] -> held[c] = TERM - age[c]; BELIEVE(c, 1) :: else -> skip fi;
#endif
     close(c)
  :: else -> skip
  fi
}

inline release(c) {
  seq[c]++; releases--;
#ifndef BROKEN_ORDER
  held[c] = 0; BELIEVE(c, 0);
#endif
  close(c);
  k = 0;
  do :: k < VOTERS -> rel[AT(c, k)] = (LISTED(c, k) -> seq[c] : 0); k++ :: else -> break od
}

/* Only processes that were not restarted (incarnation 0) release. */
inline end(c, v) {
  if
  :: left[v] > 0 && to[v] == c && toinc[v] == 0 && NEWER(toseq[v], rel[AT(c, v)]) ->
     left[v] = 0; to[v] = 0; toinc[v] = 0; toseq[v] = 0
  :: else -> skip
  fi;
  rel[AT(c, v)] = 0
}

inline restart(c) {
  restarts--;
  if :: held[c] > old -> old = held[c] :: else -> skip fi;
  held[c] = 0; BELIEVE(c, 0); inc[c]++; seq[c] = 0;
  close(c);
  to[c] = 0; toinc[c] = 0; toseq[c] = 0; left[c] = 0;
#ifndef BROKEN_WAIT
  wait[c] = TERM
#endif
}

inline tick() {
  k = 0;
  do
  :: k < VOTERS ->
     if
     :: left[k] > 1 -> left[k]--
     :: left[k] == 1 -> left[k] = 0; to[k] = 0; toinc[k] = 0; toseq[k] = 0
     :: else -> skip
     fi;
     if :: wait[k] > 0 -> wait[k]-- :: else -> skip fi;
     k++
  :: else -> break
  od;
  c = 0;
  do
  :: c < CANDIDATES ->
     if :: held[c] > 0 -> held[c]-- :: else -> skip fi;
     if :: open[c] && age[c] + 1 < TERM -> age[c]++ :: open[c] && age[c] + 1 >= TERM -> CLOSELATE(c) :: else -> skip fi;
     c++
  :: else -> break
  od;
  if :: old > 0 -> old-- :: else -> skip fi
}
inline check() {
  valid = (old > 0 -> 1 : 0); k = 0;
  do :: k < CANDIDATES -> valid = valid + (VALID(k) -> 1 : 0); k++ :: else -> break od;
  assert(valid <= LIMIT)
}

active proctype system() {
  byte k, c, v, valid;
  do
  :: atomic {
       select (c : 0 .. CANDIDATES - 1);
       select (v : 0 .. VOTERS - 1);
       if
       :: v == 0 && rounds[c] < ROUNDS(c) -> start(c)
       :: v == 0 && held[c] > 0 && releases > 0 && inc[c] == 0 -> release(c)
       :: v == 0 && restarts > 0 -> restart(c)
       :: v == 0 && c == 0 -> tick()
       :: ask[AT(c, v)] > 0 -> hear(c, v)
       :: answer[AT(c, v)] -> count(c, v)
       :: rel[AT(c, v)] > 0 -> end(c, v)
       :: else -> skip
       fi;
       check();
       k = 0; c = 0; v = 0; valid = 0
     }
  od
}
