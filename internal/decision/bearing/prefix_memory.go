package bearing

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// prefixLimit bounds the prompt beginnings remembered for each server; an
// engine's memory holds some hundreds of them.
const prefixLimit = 512

// prefixMemory remembers which prompt beginnings a server was last sent.
type prefixMemory struct {
	at map[uint64]clock.Millis
}

func newPrefixMemory() *prefixMemory { return &prefixMemory{at: make(map[uint64]clock.Millis)} }

func (m *prefixMemory) put(hash uint64, now clock.Millis) {
	if _, ok := m.at[hash]; !ok && len(m.at) >= prefixLimit {
		m.dropOldest()
	}
	m.at[hash] = now
}

func (m *prefixMemory) has(hash uint64) bool {
	_, ok := m.at[hash]
	return ok
}

// dropOldest forgets half of the beginnings, those sent longest ago.
func (m *prefixMemory) dropOldest() {
	var sum clock.Millis
	for _, at := range m.at {
		sum += at / clock.Millis(len(m.at))
	}
	for hash, at := range m.at {
		if at <= sum {
			delete(m.at, hash)
		}
	}
}
