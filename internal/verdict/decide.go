package verdict

// ResponseState is what arrived from the backend server.
type ResponseState uint8

const (
	// ResponseNone means that no byte of a response arrived.
	ResponseNone ResponseState = iota
	// ResponseTruncated means that the response ended early or had a wrong length.
	ResponseTruncated
	// ResponseTooLarge means that the response exceeded the size limit.
	ResponseTooLarge
	// ResponseComplete means that the whole response arrived.
	ResponseComplete
	// ResponseShed means that a complete response carried the documented marker
	// of a shed request.
	ResponseShed
	// ResponseMisdirected means that another process has the address and refused
	// the request without running it.
	ResponseMisdirected
	// ResponseForeign means that what arrived is not the server's response to
	// this request.
	ResponseForeign
)

// Facts are the typed observations of one attempt on a backend server.
type Facts struct {
	Connected              bool // a connection was available
	ConnectionLimitReached bool // no connection was opened: this process uses its whole share of connections
	// FirstByte is true once the first byte of the request may have left.
	FirstByte     bool
	Written       bool // the whole request was written
	TimedOut      bool // the attempt timed out
	Cancelled     bool // the attempt was cancelled by the caller or a hedge
	ResponseState ResponseState
}

// Decide returns the verdict and reason for one attempt. Every combination of
// facts has a result. NotRun is returned only when no byte of the request was
// sent, or when the response says that the request was shed or misdirected.
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
