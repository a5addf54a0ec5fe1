package admission

// usualBytes of the answers to a request are part of what each request takes.
const usualBytes = 64 << 10

// Holding counts what the answers to one request hold beyond the usual. It implements
// readall.Memory. It isn't safe for concurrent use. A nil one counts nothing.
type Holding struct {
	budget  *MemoryBudget
	bytes   int64
	counted int64
}

// NewHolding returns a holding in the budget; nil counts nothing.
func NewHolding(budget *MemoryBudget) *Holding {
	if budget == nil {
		return nil
	}
	return &Holding{budget: budget}
}

// Grow counts more bytes. It reports false if they exceed the budget.
func (h *Holding) Grow(bytes int64) bool {
	if h == nil {
		return true
	}
	more := max(h.bytes+bytes-usualBytes, 0) - h.counted
	if more > 0 && !h.budget.TryAcquireLarge(more) {
		return false
	}
	h.bytes += bytes
	h.counted += max(more, 0)
	return true
}

// Shrink gives back bytes.
func (h *Holding) Shrink(bytes int64) {
	if h == nil {
		return
	}
	h.bytes -= bytes
	surplus := h.counted - max(h.bytes-usualBytes, 0)
	h.budget.Release(surplus)
	h.counted -= surplus
}

// Release gives back all.
func (h *Holding) Release() {
	if h != nil {
		h.Shrink(h.bytes)
	}
}
