package claim

const maxWriteAttempts = 3

// Machine takes one request through its call. It does no input or output: the
// caller carries out each step and reports what came of it. Only the machine
// whose claim stands in the table ever reaches Send, and it does so once.
type Machine struct {
	mine     Row
	found    Row
	version  int64
	attempts int
	sent     bool
	verdict  Outcome
}

// NewMachine returns the machine of a request whose claim row would be mine.
func NewMachine(mine Row) *Machine {
	mine.State = Claimed
	return &Machine{mine: mine}
}

// Row returns the claim row to be written.
func (m *Machine) Row() Row { return m.mine }

// Version returns the version of the row that Takeover and the record of the
// outcome must replace.
func (m *Machine) Version() int64 { return m.version }

// Found returns the row of another request with the key.
func (m *Machine) Found() Row { return m.found }

// Outcome returns the result once the step is Finish.
func (m *Machine) Outcome() Outcome { return m.verdict }

// Start returns the first step.
func (m *Machine) Start() Step { return Insert }

// WriteDone takes in the outcome of Insert or Takeover: the row as it now stands.
func (m *Machine) WriteDone(applied bool, row Row, version int64) Step {
	if applied {
		return m.send(version)
	}
	return m.judge(row, version)
}

// WriteUnavailable says that the table service wrote nothing.
func (m *Machine) WriteUnavailable() Step { return m.finish(ClaimUnavailable) }

// WriteUnknown says that the answer to the write was lost.
func (m *Machine) WriteUnknown() Step { return ReadBack }

// ReadUnavailable says that the row couldn't be read back. The call was not
// sent; the claim, should it stand, is released later.
func (m *Machine) ReadUnavailable() Step { return m.finish(NotRun) }

// ReadAbsent says that there is no row, so the lost write did not take effect
// yet.
func (m *Machine) ReadAbsent() Step {
	m.attempts++
	if m.attempts >= maxWriteAttempts {
		return m.finish(NotRun)
	}
	return Insert
}

// ReadDone takes in the row that was read back.
func (m *Machine) ReadDone(row Row, version int64) Step { return m.judge(row, version) }

// SendDone takes in how the call went.
func (m *Machine) SendDone(verdict Outcome) Step { return m.finish(verdict) }

func (m *Machine) send(version int64) Step {
	if m.sent {
		return m.finish(MayHaveRun)
	}
	m.sent = true
	m.version = version
	return Send
}

// judge decides by the row that stands in the table.
func (m *Machine) judge(row Row, version int64) Step {
	m.found, m.version = row, version
	if row.ClaimID == m.mine.ClaimID && row.State == Claimed {
		return m.send(version)
	}
	if row.State == Released {
		return m.takeOver()
	}
	if row.Fingerprint != m.mine.Fingerprint {
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

func (m *Machine) finish(verdict Outcome) Step {
	m.verdict = verdict
	return Finish
}
