/*
 * Orders at most once: one order key, issued by host A. Host B is its first
 * choice for a hand-over, host C the second. Several copies of two different
 * requests (1 and 2) come under the key, at any host, early and late.
 *
 * Checked by assertions:
 *  - at most one dispatch per key (attempts that the server shed do not count);
 *  - not-run is final: nothing was dispatched before, nothing is afterwards;
 *  - ran is answered with the answer of the asker's own request.
 *
 * Messages that are lost, late or split off by a partition are choices of the
 * process that sends them. A paused process is one that is not scheduled. A
 * crashed host that is replaced has no book, so it is the same as a host that
 * never had one. Each rule has a variant without it, selected by BROKEN_x.
 */

#define A 0
#define B 1
#define C 2
#define HOSTS 3

mtype = { NONE, ISSUED, PENDING, DISPATCHED, DONE, UNKNOWN, REVOKED, MOVED };
mtype = { NOTRUN, RAN };

mtype state[HOSTS] = NONE;  /* of the key in the host's book; NONE: no book */
byte request[HOSTS];        /* whose record it is */
bool crashed[HOSTS];
bool known[HOSTS];          /* took the book over once */
bool sealed;                /* host A is stopping */
bool expired;               /* on the clock of the incarnation */
byte copied;                /* request whose copy arrived in another data centre */

byte dispatches;
byte ran;                   /* request that ran */
bool notrun;                /* a caller was told so */

/* Tells the caller of request req. "May have run" needs no check and is left out. */
inline answer(verdict, about) {
	if
	:: verdict == NOTRUN -> notrun = true; assert(dispatches == 0)
	:: verdict == RAN -> assert(about == req && ran == req)
	fi
}

/* The owner cannot be reached: only a copy can answer. */
inline look_up() {
	if
#ifdef BROKEN_FINGERPRINT
	:: atomic { copied != 0 -> answer(RAN, copied) }
#else
	:: atomic { copied == req -> answer(RAN, copied) }
#endif
#ifdef BROKEN_GONE
	:: atomic { copied == 0 -> answer(NOTRUN, 0) }
#endif
	:: skip /* may have run */
	fi
}

inline dispatch(h) {
	dispatches++;
	assert(dispatches <= 1 && !notrun);
	ran = req
}

/* The first copy runs the order at host h, from PENDING on. */
inline run_order(h) {
	do
	:: atomic { !crashed[h] && state[h] == PENDING -> /* refused */
#ifdef BROKEN_REVOKE
		state[h] = ISSUED;
#else
		state[h] = REVOKED;
#endif
		answer(NOTRUN, 0) }; break
	:: atomic { !crashed[h] && state[h] == PENDING -> state[h] = DISPATCHED };
		if
		:: atomic { !crashed[h] && state[h] == DISPATCHED -> state[h] = PENDING } /* shed, may try again */
		:: atomic { !crashed[h] -> dispatch(h) };
			if
			:: atomic { !crashed[h] && state[h] == DISPATCHED -> state[h] = DONE; answer(RAN, req) };
				if
				:: atomic { copied == 0 -> copied = req } /* may be delayed */
				:: skip
				fi
			:: atomic { !crashed[h] && state[h] == DISPATCHED -> state[h] = UNKNOWN; /* the answer was cut off */
#ifdef BROKEN_RESEND
				dispatch(h);
#endif
				skip }
			:: crashed[h] || state[h] != DISPATCHED -> skip
			fi;
			break
		:: crashed[h] -> break
		fi
	:: crashed[h] -> break
	:: atomic { !crashed[h] && state[h] != PENDING -> answer(NOTRUN, 0) }; break /* revoked by the hand-over */
	od
}

/* Another copy of the same order waits for the answer, or for its deadline. */
inline join(h) {
	if
	:: atomic { !crashed[h] && state[h] == DONE -> about = request[h]; answer(RAN, about) }
	:: atomic { !crashed[h] && state[h] == REVOKED -> answer(NOTRUN, 0) }
	:: skip /* may have run */
	fi
}

/*
 * What the ledger of host at says to a copy: sets seen, and about when there is
 * a record. ISSUED means that this copy is the first and runs the order.
 */
inline begin() {
	about = request[at];
	seen = state[at];
	if
	:: crashed[at] -> seen = NONE
#ifndef BROKEN_EXPIRY
	:: !crashed[at] && expired && seen != NONE -> seen = UNKNOWN; about = 0
	:: !crashed[at] && !expired && seen == ISSUED ->
#else
	:: !crashed[at] && seen == ISSUED ->
#endif
		if
		:: at == A && sealed -> state[at] = REVOKED; seen = REVOKED
		:: else ->
			request[at] = req;
#ifndef BROKEN_RECORD
			state[at] = PENDING
#endif
		fi
	:: else
	fi
}

/* One copy of a request. It comes to any host, late or never. */
proctype Copy(byte req) {
	byte at, about;
	mtype seen;

	if
	:: atomic { skip; /* the forward is lost */
#ifdef BROKEN_FORWARD
		answer(NOTRUN, 0);
#endif
		goto end }
#ifdef BROKEN_REFUSE
	:: atomic { state[B] == NONE -> answer(NOTRUN, 0); goto end } /* a host without the book is overloaded */
#endif
	:: atomic { at = A; begin() }
	:: atomic { at = B; begin() }
	:: atomic { at = C; begin() }
	fi;
	if
	:: seen == NONE ->
#ifdef BROKEN_OWNER
		atomic { dispatch(at) }
#else
		look_up()
#endif
	:: seen == ISSUED ->
#ifdef BROKEN_RECORD
		atomic { !crashed[at] -> dispatch(at); state[at] = DONE }
#else
		run_order(at)
#endif
	:: atomic { seen == REVOKED -> answer(NOTRUN, 0) }
	:: seen == MOVED -> look_up()
	:: else ->
		if
#ifdef BROKEN_FINGERPRINT
		:: about != 0 -> join(at)
#else
		:: about == req -> join(at)
#endif
		:: skip /* conflict or expired: may have run */
		fi
	fi;
end:	atomic { at = 0; about = 0; seen = 0 } /* fewer states to tell apart */
}

/* What the book of host A says at the moment of the export. */
mtype exported = NONE;
byte exportedRequest;

inline adopt(h) {
	atomic {
		skip;
		if
#ifdef BROKEN_DUPLICATE
		:: !crashed[h] ->
#else
		:: !crashed[h] && !known[h] ->
#endif
			known[h] = true;
			state[h] = exported;
			request[h] = exportedRequest
		:: else
		fi
	}
}

inline export() {
	exported = state[A];
	exportedRequest = request[A];
	if
	:: state[A] == ISSUED ->
#ifdef BROKEN_EXPORT
		sealed = false
#else
		state[A] = MOVED
#endif
	:: state[A] == PENDING -> state[A] = REVOKED; exported = REVOKED
	:: state[A] == DISPATCHED ->
#ifdef BROKEN_DISPATCHED
		exported = ISSUED
#else
		exported = UNKNOWN
#endif
	:: else
	fi
}

/* A planned stop of host A. The drain may end early, so orders may still run. */
proctype Stop() {
	sealed = true;
	if
	:: crashed[A] -> goto end
	:: atomic { !crashed[A] -> export() }
	fi;
	if
	:: adopt(B)            /* confirmed, or the confirmation is lost */
#ifdef BROKEN_REPEAT
		; adopt(C)
#endif
	:: adopt(B); adopt(B)  /* the transfer arrives again, late */
	:: adopt(C)            /* B was not reached at all, or refused */
	:: skip                /* the transfer is lost */
	fi;
end:	atomic { exported = NONE; exportedRequest = 0 }
}

proctype Crash() {
	if
	:: crashed[A] = true
	:: crashed[B] = true
	:: skip
	fi
}

/* The key expires; after that its record is forgotten, and the slot looks unused. */
proctype Expire() {
	if
	:: atomic { expired = true };
		if
		:: atomic { state[A] == DONE || state[A] == UNKNOWN || state[A] == REVOKED -> state[A] = ISSUED; request[A] = 0 }
		:: skip
		fi
	:: skip
	fi
}

init {
	atomic {
		state[A] = ISSUED;
		run Copy(1);
		run Copy(1);
		run Copy(2);
		run Stop();
		run Crash();
		run Expire()
	}
}
