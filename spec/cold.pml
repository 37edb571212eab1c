/*
 * Requests to a cold backend server (internal/filters/placement.go,
 * internal/controller/measures, internal/roster).
 *
 * Only the host that owns the task of probing a server sends requests to it while
 * it is cold, and each sender keeps to a third of the server's cold capacity. The
 * owner is the first host, in the server's rendezvous order, of those that count as
 * alive in a host's view. No host knows all others, so views differ. Checked: in any
 * period of one second the requests of all hosts stay within the cold capacity,
 * while a partition of the data centre begins and heals at any time, at most one
 * host fails per second, and failed hosts restart without any state.
 *
 * One step is 250 ms. Host 0 is first in the order of the server, then 1, 2, 3.
 */
#define N 4
#define STEPS 14
#define WINDOW 4        /* steps in one second */
#define ALIVE_STEPS 2   /* steps for which a host counts as alive without a heartbeat; 700 ms */
#define COLD_CAPACITY 3 /* requests per second, of all hosts together */

#ifdef BROKEN_SETTLE
#define START_DELAY 0 /* a new process sends at once */
#else
#define START_DELAY 7 /* longer than the discovery of the other hosts and one window take; 3 s */
#endif

#ifdef BROKEN_SHARE
#define QUOTA 2 /* each sender takes more than a third */
#else
#define QUOTA 1
#endif

#ifdef BROKEN_DUTY
#define IS_OWNER(i) true /* every host sends */
#else
#define IS_OWNER(i) is_owner
#endif

bool up[N] = true;
byte age[N] = START_DELAY;   /* steps since the start of the process, up to START_DELAY */
byte since_heartbeat[N * N]; /* steps since host i received a heartbeat of host j, up to ALIVE_STEPS + 1 */
byte sent[N * WINDOW];       /* by host and step, as recorded by its process */
byte total[WINDOW];          /* by step, of all hosts */
bool side[N];
bool partitioned;
byte failure_cooldown; /* steps until the next host may fail */

inline exchange_heartbeats() {
  for (i : 0 .. N - 1) {
    for (j : 0 .. N - 1) {
      if
      :: up[i] && up[j] && (!partitioned || side[i] == side[j]) -> since_heartbeat[i * N + j] = 0
      :: else ->
        if
        :: since_heartbeat[i * N + j] <= ALIVE_STEPS -> since_heartbeat[i * N + j]++
        :: else
        fi
      fi
    }
  }
}

inline fail() {
  if
  :: failure_cooldown == 0 ->
    if
    :: up[0] -> up[0] = false; failure_cooldown = WINDOW
    :: up[1] -> up[1] = false; failure_cooldown = WINDOW
    :: up[2] -> up[2] = false; failure_cooldown = WINDOW
    :: true
    fi
  :: else -> failure_cooldown--
  fi
}

/* A new process knows no other host and has no record of earlier requests. */
inline restart() {
  for (i : 0 .. N - 1) {
    if
    :: !up[i] ->
      if
      :: true -> up[i] = true; age[i] = 0;
        for (j : 0 .. N - 1) { since_heartbeat[i * N + j] = ALIVE_STEPS + 1 }
        for (j : 0 .. WINDOW - 1) { sent[i * WINDOW + j] = 0 }
      :: true
      fi
    :: else
    fi
  }
}

inline send() {
  total[now] = 0;
  for (i : 0 .. N - 1) {
    sent[i * WINDOW + now] = 0;
    is_owner = true;
    for (j : 0 .. N - 1) {
      if
      :: j < i && since_heartbeat[i * N + j] <= ALIVE_STEPS -> is_owner = false
      :: else
      fi
    }
    own_sent = 0;
    for (j : 0 .. WINDOW - 1) { own_sent = own_sent + sent[i * WINDOW + j] }
    if
    :: up[i] && IS_OWNER(i) && age[i] >= START_DELAY && own_sent < QUOTA ->
      if
      :: sent[i * WINDOW + now] = QUOTA - own_sent; total[now] = total[now] + QUOTA - own_sent
      :: true
      fi
    :: else
    fi;
    if
    :: up[i] && age[i] < START_DELAY -> age[i]++
    :: else
    fi
  }
}

init {
  byte i, j, own_sent, sum, step, now;
  bool is_owner;
  d_step {
    side[2] = true;
    side[3] = true;
    for (i : 0 .. N - 1) {
      for (j : 0 .. N - 1) { since_heartbeat[i * N + j] = 0 }
    }
  }
  do
  :: step < STEPS ->
    atomic {
      now = step % WINDOW;
      if
      :: partitioned = !partitioned
      :: true
      fi;
      fail();
      restart();
      exchange_heartbeats();
      send();
      sum = 0;
      for (j : 0 .. WINDOW - 1) { sum = sum + total[j] }
      assert(sum <= COLD_CAPACITY);
      step++
    }
  :: else -> break
  od
}
