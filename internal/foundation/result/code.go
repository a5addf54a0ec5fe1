// Package result defines the numbered result codes that every response carries.
package result

import "net/http"

// Code is a result code, one row of the table in docs/RESULT_CODES.md.
type Code struct {
	Number       int
	Name         string
	HTTPStatus   int
	Run          Run
	RetryAfterMs int64 // 0 if a retry doesn't help
	Meaning      string
}

// The result codes. 1xxx: invalid request; 2xxx: temporarily rejected; 3xxx: backend
// servers; 4xxx: idempotency; 5xxx: configuration and operators; 9xxx: internal.
var (
	OK = Code{0, "ok", http.StatusOK, RunYes, 0, "The request was served."}

	MalformedRequest  = Code{1001, "malformed_request", http.StatusBadRequest, RunNo, 0, "The body or a header can't be parsed; the detail names the field."}
	BodyTooLarge      = Code{1002, "body_too_large", http.StatusRequestEntityTooLarge, RunNo, 0, "The body is over limits.max_body_bytes."}
	UnknownCredential = Code{1003, "unknown_credential", http.StatusUnauthorized, RunNo, 0, "No client account or operator has this key."}
	NoRoute           = Code{1004, "no_route", http.StatusNotFound, RunNo, 0, "No route matches the model name or the path."}
	NotAllowed        = Code{1005, "not_allowed", http.StatusForbidden, RunNo, 0, "The client account may not use this route, model or version."}
	BadSessionToken   = Code{1006, "bad_session_token", http.StatusBadRequest, RunNo, 0, "The session token is malformed, or signed by an unknown key, or for another account or route."}
	SessionEnded      = Code{1007, "session_ended", http.StatusConflict, RunNo, 0, "The session's version was withdrawn; start a new session."}
	SlowRequest       = Code{1008, "slow_request", http.StatusRequestTimeout, RunNo, 0, "The body did not arrive within limits.body_read_ms."}
	UpgradeRefused    = Code{1009, "upgrade_refused", http.StatusNotImplemented, RunNo, 0, "Protocol upgrades and CONNECT are not served."}
	HeaderTooLarge    = Code{1010, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, RunNo, 0, "The request header is over the limit of the configuration."}

	NotConfirmed        = Code{2001, "not_confirmed", http.StatusServiceUnavailable, RunNo, 1000, "This daemon can't confirm that its configuration is current."}
	Stopping            = Code{2002, "stopping", http.StatusServiceUnavailable, RunNo, 50, "This daemon is shutting down."}
	AccountOverShare    = Code{2003, "account_over_share", http.StatusTooManyRequests, RunNo, 1000, "The client account uses its fair share, and the daemon is full."}
	Overloaded          = Code{2004, "overloaded", http.StatusServiceUnavailable, RunNo, 1000, "The pool is full, and the request can't start within its deadline."}
	DeadlineTooShort    = Code{2005, "deadline_too_short", http.StatusServiceUnavailable, RunNo, 1000, "The expected wait is longer than the time that the request has left."}
	BillsFull           = Code{2006, "bills_full", http.StatusServiceUnavailable, RunNo, 5000, "Unwritten bill records are at their bound; the table service has been away for long."}
	PinUnavailable      = Code{2007, "pin_unavailable", http.StatusServiceUnavailable, RunNo, 2000, "The version of this session id can't be looked up; send the session token instead."}
	OutOfService        = Code{2008, "out_of_service", http.StatusServiceUnavailable, RunNo, 1000, "This daemon's host or data centre was taken out of service."}
	NotConfigured       = Code{2009, "not_configured", http.StatusServiceUnavailable, RunNo, 200, "This daemon has no configuration yet."}
	PromptQuarantined   = Code{2010, "prompt_quarantined", http.StatusServiceUnavailable, RunNo, 60_000, "A segment of the prompt has crashed several backend servers; one request with it is tried at the stated time."}
	RateLimited         = Code{2011, "rate_limited", http.StatusServiceUnavailable, RunNo, 1000, "The pool's backend servers have stated rate limits for all daemons together, which are used up; the stated time fits the rate."}
	RequestQuarantined  = Code{2012, "request_quarantined", http.StatusServiceUnavailable, RunNo, 60_000, "The same request of this client account has crashed several backend servers; it is tried once more at the stated time."}
	RejectedForAccount  = Code{2013, "rejected_for_account", http.StatusServiceUnavailable, RunNo, 1000, "The pool is full, and the client account uses more than its fair share of it while others compete; the stated time is when a place is expected."}
	RejectedForDeadline = Code{2014, "rejected_for_deadline", http.StatusServiceUnavailable, RunNo, 1000, "The pool is full, and the response can't be complete before the request's deadline; the stated time is when a place is expected."}
	ResponseMemoryFull  = Code{2015, "response_memory_full", http.StatusServiceUnavailable, RunNo, 1000, "The daemon's memory for responses that callers haven't read is used up."}
	PromptTooLarge      = Code{2016, "prompt_too_large", http.StatusServiceUnavailable, RunNo, 0, "The prompt and its answer exceed the memory of every backend server of the pool; a retry doesn't help."}
	ConnectionRefused   = Code{2017, "connection_refused", http.StatusServiceUnavailable, RunNo, 200, "The daemon's memory or file descriptors for connections are used up, and this connection held much of them and moved little."}

	NoServer         = Code{3001, "no_server", http.StatusServiceUnavailable, RunNo, 1000, "No backend server in service holds an allowed model and version."}
	BackendRefused   = Code{3002, "backend_refused", http.StatusServiceUnavailable, RunNo, 1000, "The backend servers refused the request before running it."}
	BackendFailed    = Code{3003, "backend_failed", http.StatusBadGateway, RunUnknown, 1000, "The connection failed after the request may have reached the backend server."}
	BackendTimeout   = Code{3004, "backend_timeout", http.StatusGatewayTimeout, RunUnknown, 1000, "The backend server didn't answer in time."}
	AnswerMismatch   = Code{3005, "answer_mismatch", http.StatusBadGateway, RunUnknown, 1000, "The backend server answered another request; that answer was dropped."}
	StreamCut        = Code{3006, "stream_cut", http.StatusBadGateway, RunUnknown, 1000, "The stream ended before its final mark and couldn't be resumed."}
	CallerLeft       = Code{3008, "caller_left", http.StatusBadGateway, RunUnknown, 0, "The caller closed its connection before the answer was complete; one that closed only its sending side gets this."}
	VersionWithdrawn = Code{3007, "version_withdrawn", http.StatusServiceUnavailable, RunNo, 1000, "The chosen version was withdrawn before the request was handed over."}
	KeyRequired      = Code{4001, "idempotency_key_required", http.StatusBadRequest, RunNo, 0, "This route runs calls at most once and needs an Idempotency-Key header."}
	KeyReused        = Code{4002, "idempotency_key_reused", http.StatusUnprocessableEntity, RunNo, 0, "The key was used before with another request; this request was not run."}
	InProgress       = Code{4003, "in_progress", http.StatusConflict, RunUnknown, 1000, "A call with this key is under way or its daemon died; ask again for the outcome."}
	OutcomeUnknown   = Code{4004, "outcome_unknown", http.StatusConflict, RunUnknown, 0, "The call may have run; it won't be sent again. Check at the app."}
	ClaimUnavailable = Code{4005, "claim_unavailable", http.StatusServiceUnavailable, RunNo, 2000, "The table service is away, so the call was not sent."}
	EditConflict     = Code{5001, "edit_conflict", http.StatusConflict, RunNo, 0, "Another edit came first; the detail names the current version."}
	EditInvalid      = Code{5002, "edit_invalid", http.StatusUnprocessableEntity, RunNo, 0, "The tables break a rule; the detail names path, rule and line."}
	EditPending      = Code{5003, "edit_pending", http.StatusAccepted, RunYes, 1000, "The edit is committed but not yet adopted by a majority of daemons."}
	StoreUnavailable = Code{5004, "store_unavailable", http.StatusServiceUnavailable, RunNo, 2000, "The table service is away; nothing was changed."}
	EditUnknown      = Code{5005, "edit_unknown", http.StatusServiceUnavailable, RunUnknown, 2000, "The table service didn't say whether the edit was committed; send it again with the same edit id."}
	BillNotRecorded  = Code{9001, "bill_not_recorded", http.StatusInternalServerError, RunYes, 0, "The answer was produced, but its bill couldn't be held anywhere."}
	Internal         = Code{9002, "internal", http.StatusInternalServerError, RunUnknown, 0, "A fault of the daemon; the log has the request id."}
)

// All returns the codes in ascending order of their numbers.
func All() []Code {
	return []Code{
		OK,
		MalformedRequest, BodyTooLarge, UnknownCredential, NoRoute, NotAllowed, BadSessionToken, SessionEnded, SlowRequest, UpgradeRefused, HeaderTooLarge,
		NotConfirmed, Stopping, AccountOverShare, Overloaded, DeadlineTooShort, BillsFull, PinUnavailable, OutOfService, NotConfigured, PromptQuarantined, RateLimited, RequestQuarantined, RejectedForAccount, RejectedForDeadline, ResponseMemoryFull, PromptTooLarge, ConnectionRefused,
		NoServer, BackendRefused, BackendFailed, BackendTimeout, AnswerMismatch, StreamCut, VersionWithdrawn, CallerLeft,
		KeyRequired, KeyReused, InProgress, OutcomeUnknown, ClaimUnavailable,
		EditConflict, EditInvalid, EditPending, StoreUnavailable, EditUnknown,
		BillNotRecorded, Internal,
	}
}

// Find returns the code with the given number.
func Find(number int) (Code, bool) {
	for _, c := range All() {
		if c.Number == number {
			return c, true
		}
	}
	return Code{}, false
}
