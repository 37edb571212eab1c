/*
 * Retry budget of a fleet (internal/filters/budget.go).
 *
 * In addition to a ratio of its requests, the fleet may send SLACK retries in a
 * period. Each host saves up a share of the slack, which it computes from the
 * number of hosts that it knows. Checked over one period: the retries of all hosts
 * stay within SLACK plus the tokens that requests earned in the period, while hosts
 * are partitioned from each other, stop and restart, and for any number of tokens
 * that each host had saved up before.
 */
#define N 3
#define SLACK 6
#define EARNED 2   /* upper bound of the tokens that requests earn in the period */
#define RESTARTS 2

/* A host counts itself as known; it may know no other host. */
#ifdef BROKEN_SHARE
#define SHARE(known) (SLACK / (known)) /* a host that knows no other takes the whole slack */
#else
#define SHARE(known) (SLACK / (known) < 2 -> SLACK / (known) : 2) /* limited: a host that knows few others may be partitioned from many */
#endif

#ifdef BROKEN_START
#define INITIAL_TOKENS(known) SHARE(known) /* a new process starts with its whole share */
#else
#define INITIAL_TOKENS(known) 0
#endif

byte known[N];
byte tokens[N];
byte earned, spent, restarts;

init {
  byte i, k;
  for (i : 0 .. N - 1) {
    select(k : 1 .. N);
    known[i] = k;
    select(k : 0 .. SLACK);
    tokens[i] = (k < SHARE(known[i]) -> k : SHARE(known[i]))
  }
  do
  :: select(k : 0 .. N - 1);
    i = k;
    atomic {
      if
      :: tokens[i] > 0 -> /* a retry */
        tokens[i]--;
        spent++
      :: earned < EARNED && tokens[i] < SHARE(known[i]) -> /* a deposit by requests */
        tokens[i]++;
        earned++
      :: restarts < RESTARTS ->
        restarts++;
        known[i] = 1;
        tokens[i] = INITIAL_TOKENS(1)
      :: known[i] < N -> known[i]++ /* discovers a host; keeps its tokens */
      :: known[i] > 1 -> known[i]--
      :: true -> break
      fi;
      assert(spent <= SLACK + earned)
    }
  od
}
