package soak

import "sync"

// soundCount counts the sound requests of a period.
type soundCount struct {
	mu           sync.Mutex
	sent, served int
}

func (s *soundCount) add(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if ok {
		s.served++
	}
}

// reaches reports whether the share of the requests was served. It must not be called while
// requests are under way.
func (s *soundCount) reaches(share float64) bool {
	return s.sent > 0 && float64(s.served) >= share*float64(s.sent)
}

// soundPeriods counts sound requests while the daemons learn what crashes engines, and later.
type soundPeriods struct {
	mu          sync.Mutex
	early, late soundCount
	isLate      bool
}

// current returns the count of the period.
func (p *soundPeriods) current() *soundCount {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isLate {
		return &p.late
	}
	return &p.early
}

func (p *soundPeriods) beginLate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isLate = true
}
