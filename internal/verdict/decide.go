package verdict

// Answer is what arrived from the backend server.
type ResponseState uint8

const (
	// AnswerNone means that no byte of an answer arrived.
	ResponseNone ResponseState = iota
	// AnswerCut means that the answer ended early or had a wrong length.
	ResponseTruncated
	// AnswerTooLarge means that the answer exceeded the size limit.
	ResponseTooLarge
	// AnswerComplete means that the whole answer arrived.
	ResponseComplete
	// AnswerShed means that a complete answer carried the documented shed mark.
	ResponseShed
	// AnswerMisdirected means that another process has the address and refused
	// the request unrun.
	ResponseMisdirected
	// AnswerForeign means that what arrived is not the server's answer to this
	// request.
	ResponseForeign
)

// Facts are the typed observations of one attempt on a backend server.
type Facts struct {
	Connected              bool // a connection was available
	ConnectionLimitReached bool // none was opened: this process's share of connections is in use
	// FirstByte is true once the first byte of the request may have left.
	FirstByte     bool
	Written       bool // the whole request was written
	TimedOut      bool // the attempt ended by its time limit
	Cancelled     bool // the attempt was cancelled by the caller or a hedge
	ResponseState ResponseState
}

// Decide returns the verdict and reason for one attempt. It is total: every
// combination of facts has a result, and NotRun is returned only when no byte
// left or the backend server itself said that it shed the request.
func Decide(f Facts) (Verdict, Reason) {
	switch f.ResponseState {
	case ResponseComplete:
		return Ran, ReasonNone
	case ResponseShed:
		return NotRun, ReasonShed
	case ResponseMisdirected:
		return NotRun, ReasonMisdirected
	case ResponseForeign:
		return MayHaveRun, ReasonAnswerForeign
	case ResponseTruncated:
		return MayHaveRun, ReasonAnswerCut
	case ResponseTooLarge:
		return MayHaveRun, ReasonAnswerTooLarge
	}
	if !f.FirstByte && !f.Written {
		return NotRun, unsentReason(f)
	}
	switch {
	case f.TimedOut:
		return MayHaveRun, ReasonAnswerTimeout
	case f.Cancelled:
		return MayHaveRun, ReasonCallerGone
	case f.Written:
		return MayHaveRun, ReasonAnswerCut
	default:
		return MayHaveRun, ReasonWriteFailed
	}
}

func unsentReason(f Facts) Reason {
	switch {
	case f.TimedOut:
		return ReasonDeadline
	case f.Cancelled:
		return ReasonCallerGone
	case f.ConnectionLimitReached:
		return ReasonConnections
	case !f.Connected:
		return ReasonConnectFailed
	default:
		return ReasonWriteFailed
	}
}
