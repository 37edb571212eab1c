/*
 * Orders run at most once: one order key, issued by host A. Host B is the first
 * successor that A tries at a hand-over, host C the second. Several copies of two
 * different requests (1 and 2) arrive with the key, at any host and at any time.
 *
 * Checked by assertions:
 *  - at most one dispatch per key (attempts that the server shed do not count);
 *  - the verdict not-run is final: nothing was dispatched before or is afterwards;
 *  - the verdict ran comes with the response to the caller's own request.
 *
 * Lost and late messages and partitions are modelled as nondeterministic choices of
 * the sending process, and a paused process as one that is not scheduled. A host
 * that replaces a crashed one has no ledger of the incarnation, so it is the same
 * as a host that never had it. Each rule has a variant without it, selected by
 * BROKEN_x.
 */

#define A 0
#define B 1
#define C 2
#define HOSTS 3

mtype = { NONE, ISSUED, PENDING, DISPATCHED, DONE, UNKNOWN, REVOKED, MOVED };
mtype = { NOTRUN, RAN };

mtype state[HOSTS] = NONE; /* of the key in the host's ledger; NONE: no ledger of the incarnation */
byte request[HOSTS];       /* request that the record belongs to */
bool crashed[HOSTS];
bool adopted[HOSTS]; /* the host took over the ledger once */
bool sealed;         /* host A is stopping */
bool expired;        /* by the clock of the incarnation */
byte copied;         /* request whose result was copied to another data centre */

byte dispatches;
byte ran;    /* request that ran */
bool notrun; /* a caller got the verdict not-run */

/* Responds to the caller of request req. "May have run" needs no check and is left out. */
inline respond(verdict, recorded) {
	if
	:: verdict == NOTRUN -> notrun = true; assert(dispatches == 0)
	:: verdict == RAN -> assert(recorded == req && ran == req)
	fi
}

/* The owner cannot be reached: only a copied result can be returned. */
inline look_up() {
	if
#ifdef BROKEN_FINGERPRINT
	:: atomic { copied != 0 -> respond(RAN, copied) }
#else
	:: atomic { copied == req -> respond(RAN, copied) }
#endif
#ifdef BROKEN_GONE
	:: atomic { copied == 0 -> respond(NOTRUN, 0) }
#endif
	:: skip /* may have run */
	fi
}

inline dispatch(h) {
	dispatches++;
	assert(dispatches <= 1 && !notrun);
	ran = req
}

/* The first copy of the order runs it at host h, starting in state PENDING. */
inline run_order(h) {
	do
	:: atomic { !crashed[h] && state[h] == PENDING -> /* refused */
#ifdef BROKEN_REVOKE
		state[h] = ISSUED;
#else
		state[h] = REVOKED;
#endif
		respond(NOTRUN, 0) }; break
	:: atomic { !crashed[h] && state[h] == PENDING -> state[h] = DISPATCHED };
		if
		:: atomic { !crashed[h] && state[h] == DISPATCHED -> state[h] = PENDING } /* shed; may retry */
		:: atomic { !crashed[h] -> dispatch(h) };
			if
			:: atomic { !crashed[h] && state[h] == DISPATCHED -> state[h] = DONE; respond(RAN, req) };
				if
				:: atomic { copied == 0 -> copied = req } /* may be delayed */
				:: skip
				fi
			:: atomic { !crashed[h] && state[h] == DISPATCHED -> state[h] = UNKNOWN; /* the response was incomplete */
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
	:: atomic { !crashed[h] && state[h] != PENDING -> respond(NOTRUN, 0) }; break /* revoked by the hand-over */
	od
}

/* Another copy of the same order waits for the response or until its deadline. */
inline join(h) {
	if
	:: atomic { !crashed[h] && state[h] == DONE -> recorded = request[h]; respond(RAN, recorded) }
	:: atomic { !crashed[h] && state[h] == REVOKED -> respond(NOTRUN, 0) }
	:: skip /* may have run */
	fi
}

/*
 * Looks up the key in the ledger of host at: sets seen to its state, and recorded to
 * the request of its record, if there is one. ISSUED means that this copy is the
 * first and runs the order.
 */
inline begin() {
	recorded = request[at];
	seen = state[at];
	if
	:: crashed[at] -> seen = NONE
#ifndef BROKEN_EXPIRY
	:: !crashed[at] && expired && seen != NONE -> seen = UNKNOWN; recorded = 0
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

/* One copy of a request. It arrives at any host, at any time or never. */
proctype Copy(byte req) {
	byte at, recorded;
	mtype seen;

	if
	:: atomic { skip; /* the forward is lost */
#ifdef BROKEN_FORWARD
		respond(NOTRUN, 0);
#endif
		goto end }
#ifdef BROKEN_REFUSE
	:: atomic { state[B] == NONE -> respond(NOTRUN, 0); goto end } /* a host without the ledger is overloaded */
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
	:: atomic { seen == REVOKED -> respond(NOTRUN, 0) }
	:: seen == MOVED -> look_up()
	:: else ->
		if
#ifdef BROKEN_FINGERPRINT
		:: recorded != 0 -> join(at)
#else
		:: recorded == req -> join(at)
#endif
		:: skip /* conflict or expired: may have run */
		fi
	fi;
end:	atomic { at = 0; recorded = 0; seen = 0 } /* reduces the number of states */
}

/* State of the key in the ledger of host A at its export. */
mtype exported = NONE;
byte exportedRequest;

inline adopt(h) {
	atomic {
		skip;
		if
#ifdef BROKEN_DUPLICATE
		:: !crashed[h] ->
#else
		:: !crashed[h] && !adopted[h] ->
#endif
			adopted[h] = true;
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

/* A planned stop of host A. The drain may end early, with orders still running. */
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
	:: adopt(B); adopt(B)  /* the transfer arrives a second time, late */
	:: adopt(C)            /* B was unreachable or refused */
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

/* The key expires; its record may then be evicted, and the slot looks unused. */
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
