package filters

import (
	"math/rand/v2"
	"time"

	"github.com/anvilfront/anvilfront/internal/verdict"
)

const (
	backoffBase = 2 * time.Millisecond  // mean of the first backoff
	backoffMax  = 50 * time.Millisecond // upper bound of the mean backoff
)

// retryInput holds everything except the budget that decides on one retry.
type retryInput struct {
	Verdict    verdict.Verdict // of the previous attempt
	Reason     verdict.Reason  // of the previous attempt
	Idempotent bool            // from the route
	// RetryErrors allows a retry after an error response of the backend server.
	RetryErrors bool
	Nested      bool          // an earlier hop of the call chain may retry
	MaxRetries  int           // per request, from the route
	RetriesDone int           // so far, for this request; hedges included
	Remaining   time.Duration // until the request's deadline
}

// retryable holds the reasons after which another attempt can have a different
// result. Refusals for lack of capacity are excluded: placement has already
// considered every backend server, and a retry adds load where capacity is short.
var retryable = map[verdict.Reason]bool{
	verdict.ReasonStartExpired:  true,
	verdict.ReasonConnectFailed: true,
	verdict.ReasonConnections:   true,
	verdict.ReasonShed:          true,
	verdict.ReasonWriteFailed:   true,
	verdict.ReasonAnswerCut:     true,
	verdict.ReasonAnswerTimeout: true,
	verdict.ReasonAnswerForeign: true,
	verdict.ReasonMisdirected:   true,
	verdict.ReasonBackendError:  true, // only on routes with RetryErrors
}

// notDispatched holds the retryable reasons of attempts that ended before dispatch.
var notDispatched = map[verdict.Reason]bool{
	verdict.ReasonStartExpired:  true,
	verdict.ReasonConnectFailed: true,
	verdict.ReasonConnections:   true,
}

// decideRetry returns whether to retry, and the backoff before the retry. A
// request that is not idempotent is retried only after NotRun. A nested request
// is not retried after dispatch, so that retries do not multiply along a call
// chain. The backoff always ends before the deadline.
func decideRetry(in retryInput, r *rand.Rand) (wait time.Duration, retry bool) {
	switch {
	case !retryable[in.Reason]:
		return 0, false
	case in.Verdict == verdict.Ran && (in.Reason != verdict.ReasonBackendError || !in.RetryErrors):
		return 0, false
	case in.Verdict != verdict.NotRun && !in.Idempotent:
		return 0, false
	case in.Nested && (in.Verdict != verdict.NotRun || !notDispatched[in.Reason]):
		return 0, false
	case in.RetriesDone >= in.MaxRetries:
		return 0, false
	}
	mean := min(backoffBase<<min(in.RetriesDone, 10), backoffMax)
	wait = mean/2 + time.Duration(r.Int64N(int64(mean)))
	return wait, wait < in.Remaining
}
