package claim

const maxWriteAttempts = 3

// Machine is the state machine of one non-idempotent call. It does no I/O: the caller
// performs each step and reports the result, which gives the next step. Send is
// returned at most once, and only if the machine's own claim is in the table. Not safe
// for concurrent use.
type Machine struct {
	claim    Row
	existing Row
	version  int64
	attempts int
	sent     bool
	outcome  Outcome
}

// NewMachine returns the machine of a request that is to be claimed with this row.
func NewMachine(claim Row) *Machine {
	claim.State = Claimed
	return &Machine{claim: claim}
}

// Row returns the row that Insert and Takeover must write.
func (m *Machine) Row() Row { return m.claim }

// Version returns the row version that Takeover, and the write of the outcome, must
// replace.
func (m *Machine) Version() int64 { return m.version }

// Found returns the row that is in the table under the idempotency key.
func (m *Machine) Found() Row { return m.existing }

// Outcome returns the result of the call. It is valid once the step is Finish.
func (m *Machine) Outcome() Outcome { return m.outcome }

// Start returns the first step.
func (m *Machine) Start() Step { return Insert }

// WriteDone reports the answer to Insert or Takeover, with the row that is now in the
// table: the written one, or the one that prevented the write.
func (m *Machine) WriteDone(applied bool, row Row, version int64) Step {
	if applied {
		return m.send(version)
	}
	return m.evaluate(row, version)
}

// WriteUnavailable reports that the table service did not write the row.
func (m *Machine) WriteUnavailable() Step { return m.finish(ClaimUnavailable) }

// WriteUnknown reports that the answer to the write was lost.
func (m *Machine) WriteUnknown() Step { return ReadBack }

// ReadUnavailable reports that ReadBack failed. The call was not sent; if the claim was
// written, it is released later.
func (m *Machine) ReadUnavailable() Step { return m.finish(NotRun) }

// ReadAbsent reports that there is no row: the lost write has not taken effect yet.
func (m *Machine) ReadAbsent() Step {
	m.attempts++
	if m.attempts >= maxWriteAttempts {
		return m.finish(NotRun)
	}
	return Insert
}

// ReadDone reports the row that ReadBack returned.
func (m *Machine) ReadDone(row Row, version int64) Step { return m.evaluate(row, version) }

// SendDone reports the outcome of the call.
func (m *Machine) SendDone(outcome Outcome) Step { return m.finish(outcome) }

// send returns Send, unless the call was already sent: then it may have run.
func (m *Machine) send(version int64) Step {
	if m.sent {
		return m.finish(MayHaveRun)
	}
	m.sent = true
	m.version = version
	return Send
}

// evaluate returns the step for the row that is in the table.
func (m *Machine) evaluate(row Row, version int64) Step {
	m.existing, m.version = row, version
	if row.ClaimID == m.claim.ClaimID && row.State == Claimed {
		return m.send(version)
	}
	if row.State == Released {
		return m.takeOver()
	}
	if row.Fingerprint != m.claim.Fingerprint {
		return m.finish(KeyReused)
	}
	switch row.State {
	case Done:
		return m.finish(Replayed)
	case Unknown:
		return m.finish(MayHaveRun)
	default:
		return m.finish(InProgress)
	}
}

func (m *Machine) takeOver() Step {
	m.attempts++
	if m.attempts > maxWriteAttempts {
		return m.finish(ClaimUnavailable)
	}
	return Takeover
}

func (m *Machine) finish(outcome Outcome) Step {
	m.outcome = outcome
	return Finish
}
