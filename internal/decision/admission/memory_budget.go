package admission

import "sync"

// MemoryBudget bounds the bytes that a daemon holds for its callers. The zero value has no
// limit. It is safe for concurrent use.
type MemoryBudget struct {
	mu          sync.Mutex
	limit, used int64
	parent      *ConnBudget // counts what is used, too; nil for none
}

// SetParent makes a budget count what is used from now on. It doesn't limit this one.
func (b *MemoryBudget) SetParent(parent *ConnBudget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parent = parent
}

// add counts the bytes. b.mu must be held.
func (b *MemoryBudget) add(bytes int64) {
	b.used += bytes
	if b.parent != nil {
		b.parent.Add(bytes)
	}
}

// SetLimit replaces the limit in bytes; 0 means none. Bytes that are held already stay held.
func (b *MemoryBudget) SetLimit(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = bytes
}

// TryAcquire takes the bytes and reports true, or reports false if they don't fit.
func (b *MemoryBudget) TryAcquire(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && b.used+bytes > b.limit {
		return false
	}
	b.add(bytes)
	return true
}

// largeShare is the share of the limit that TryAcquireLarge gives out.
const largeShare = 0.75

// TryAcquireLarge is like TryAcquire, for what a request takes beyond the usual. It leaves a
// quarter of the limit to the usual needs of other requests.
func (b *MemoryBudget) TryAcquireLarge(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && float64(b.used+bytes) > largeShare*float64(b.limit) {
		return false
	}
	b.add(bytes)
	return true
}

// LargeMemory counts in the budget what is larger than usual. It implements readall.Memory.
type LargeMemory struct{ Budget *MemoryBudget }

// Grow counts more bytes. It reports false if they exceed the budget.
func (m LargeMemory) Grow(bytes int64) bool { return m.Budget.TryAcquireLarge(bytes) }

// Shrink gives back bytes.
func (m LargeMemory) Shrink(bytes int64) { m.Budget.Release(bytes) }

// Release gives back bytes that were acquired.
func (b *MemoryBudget) Release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(-bytes)
}

// Used returns the bytes in use.
func (b *MemoryBudget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
