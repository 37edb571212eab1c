package verdict

// Reason names why a request was refused, failed or was retried. Each reason
// has a row in the reason table and a counter in package metrics.
type Reason uint8

// The reasons. The array length in reasonTable ties each constant to a row.
const (
	ReasonNone Reason = iota
	ReasonInternal
	ReasonBadRequest
	ReasonNoRoute
	ReasonTooLarge
	ReasonDeadline
	ReasonCallerGone
	ReasonOverload
	ReasonWontFinish
	ReasonNoBackend
	ReasonStartExpired
	ReasonResync
	ReasonStopping
	ReasonConnectFailed
	ReasonShed
	ReasonWriteFailed
	ReasonAnswerCut
	ReasonAnswerTooLarge
	ReasonAnswerTimeout
	ReasonBackendError
	ReasonSuspect
	ReasonRetryBudget
	ReasonKeyMalformed
	ReasonKeyInvalid
	ReasonKeyExpired
	ReasonKeyRequired
	ReasonKeyConflict
	ReasonKeyRevoked
	ReasonKeyUnexpected
	ReasonOwnerGone
	ReasonOwnerUnconfirmed
	ReasonOwnerSealed
	ReasonLedgerFull
	ReasonNotKept
	ReasonHedge
	ReasonConnections
	ReasonMisdirected
	ReasonAnswerForeign
	ReasonNoConfiguration
	ReasonHeaderTooLarge
	ReasonRequestTimeout
	ReasonUnauthorized
	ReasonQuota
	ReasonOtherAccounts
	ReasonMemory
	ReasonClientLimit
	NumReasons // number of reasons; not a reason
)

type reasonRow struct {
	name   string
	status int    // HTTP status when no response of a backend server is passed on
	help   string // one line for operators
}

var reasonTable = [NumReasons]reasonRow{
	ReasonNone:             {"none", 200, "the answer of the backend server"},
	ReasonInternal:         {"internal", 500, "unexpected error in the entry host"},
	ReasonBadRequest:       {"bad_request", 400, "the request is malformed"},
	ReasonNoRoute:          {"no_route", 404, "no route of the manifest matches"},
	ReasonTooLarge:         {"too_large", 413, "the request exceeds a size limit"},
	ReasonDeadline:         {"deadline", 504, "the deadline passed before the request was sent"},
	ReasonCallerGone:       {"caller_gone", 499, "the caller went away"},
	ReasonOverload:         {"overload", 503, "every eligible backend server is full"},
	ReasonWontFinish:       {"wont_finish", 503, "the request cannot finish before its deadline"},
	ReasonNoBackend:        {"no_backend", 503, "the service has no eligible backend server"},
	ReasonStartExpired:     {"start_expired", 503, "the request was not sent within the time for which its backend server was chosen"},
	ReasonResync:           {"resync", 503, "the entry host was paused and has not refreshed its state yet"},
	ReasonStopping:         {"stopping", 503, "the entry host is stopping"},
	ReasonConnectFailed:    {"connect_failed", 502, "the backend server refused the connection"},
	ReasonShed:             {"shed", 503, "the backend server shed the request unrun"},
	ReasonWriteFailed:      {"write_failed", 502, "the connection failed while the request was being written"},
	ReasonAnswerCut:        {"answer_cut", 502, "the connection closed before the answer was complete"},
	ReasonAnswerTooLarge:   {"answer_too_large", 502, "the answer exceeds the size limit"},
	ReasonAnswerTimeout:    {"answer_timeout", 504, "the answer did not arrive in time"},
	ReasonBackendError:     {"backend_error", 502, "the backend server answered with an error"},
	ReasonSuspect:          {"suspect", 503, "the request is suspected of crashing backend servers"},
	ReasonRetryBudget:      {"retry_budget", 503, "the retry budget of the route is used up"},
	ReasonKeyMalformed:     {"key_malformed", 400, "the order key cannot be decoded"},
	ReasonKeyInvalid:       {"key_invalid", 400, "the order key was not issued by its owner"},
	ReasonKeyExpired:       {"key_expired", 410, "the order key expired"},
	ReasonKeyRequired:      {"key_required", 428, "the route demands an order key"},
	ReasonKeyConflict:      {"key_conflict", 409, "the order key was used for another request"},
	ReasonKeyRevoked:       {"key_revoked", 409, "the order key was revoked by an earlier refusal"},
	ReasonKeyUnexpected:    {"key_unexpected", 400, "an idempotent route takes no order key"},
	ReasonOwnerGone:        {"owner_gone", 502, "the owner of the order key cannot be reached"},
	ReasonOwnerUnconfirmed: {"owner_unconfirmed", 502, "the owner of the order key did not confirm"},
	ReasonOwnerSealed:      {"owner_sealed", 502, "the owner of the order key handed its records over without confirmation"},
	ReasonLedgerFull:       {"ledger_full", 503, "no room for another order record"},
	ReasonNotKept:          {"not_kept", 502, "the order ran but its answer was too large to keep"},
	ReasonHedge:            {"hedge", 200, "a second copy of an idempotent request was sent"},
	ReasonConnections:      {"connections", 503, "this entry host's share of connections to the backend server is in use"},
	ReasonMisdirected:      {"misdirected", 503, "another process has the address of the backend server"},
	ReasonAnswerForeign:    {"answer_foreign", 502, "the answer belongs to another request or is not the backend server's"},
	ReasonNoConfiguration:  {"no_configuration", 503, "this entry host knows no configuration yet"},
	ReasonHeaderTooLarge:   {"header_too_large", 431, "the header exceeds its size limit"},
	ReasonRequestTimeout:   {"request_timeout", 408, "the caller took too long to send the request"},
	ReasonUnauthorized:     {"unauthorized", 401, "the request has no key of a client account"},
	ReasonQuota:            {"quota", 429, "the client account has used up its quota"},
	ReasonOtherAccounts:    {"other_accounts", 503, "the service is short of room and other client accounts go first"},
	ReasonMemory:           {"memory", 503, "requests take up the memory that the entry host has for them"},
	ReasonClientLimit:      {"client_limit", 429, "the requests of the client address take up as much memory as one may"},
}

// String returns the name used in headers, counters and logs.
func (r Reason) String() string {
	if r >= NumReasons {
		return "unknown"
	}
	return reasonTable[r].name
}

// Status returns the HTTP status code for a refusal with this reason.
func (r Reason) Status() int {
	if r >= NumReasons {
		return 500
	}
	return reasonTable[r].status
}

// Help returns one line for operators.
func (r Reason) Help() string {
	if r >= NumReasons {
		return ""
	}
	return reasonTable[r].help
}

// Reasons returns every reason in table order.
func Reasons() []Reason {
	all := make([]Reason, NumReasons)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// ParseReason returns the reason with the given name.
func ParseReason(name string) (Reason, bool) {
	for i := range reasonTable {
		if reasonTable[i].name == name {
			return Reason(i), true
		}
	}
	return ReasonInternal, false
}
