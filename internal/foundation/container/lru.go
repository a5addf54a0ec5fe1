package container

import (
	"container/list"
	"sync"
)

// LRU is a map of bounded size that evicts the entry used longest ago. It is
// safe for concurrent use.
type LRU[K comparable, V any] struct {
	mu    sync.Mutex
	limit int
	order *list.List
	items map[K]*list.Element
}

type lruEntry[K comparable, V any] struct {
	key   K
	value V
}

// NewLRU returns an empty map that holds at most limit entries.
func NewLRU[K comparable, V any](limit int) *LRU[K, V] {
	return &LRU[K, V]{limit: limit, order: list.New(), items: make(map[K]*list.Element)}
}

// Get returns the value for key and marks it as used.
func (l *LRU[K, V]) Get(key K) (V, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.items[key]
	if !ok {
		var zero V
		return zero, false
	}
	l.order.MoveToFront(e)
	return e.Value.(*lruEntry[K, V]).value, true
}

// Put stores value under key and evicts the oldest entry over the limit.
func (l *LRU[K, V]) Put(key K, value V) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.items[key]; ok {
		e.Value.(*lruEntry[K, V]).value = value
		l.order.MoveToFront(e)
		return
	}
	l.items[key] = l.order.PushFront(&lruEntry[K, V]{key, value})
	if l.order.Len() > l.limit {
		oldest := l.order.Back()
		l.order.Remove(oldest)
		delete(l.items, oldest.Value.(*lruEntry[K, V]).key)
	}
}

// Each calls visit for every entry, the one used last first, until it returns false.
// It doesn't mark entries as used, and visit must not use the map.
func (l *LRU[K, V]) Each(visit func(K, V) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.order.Front(); e != nil; e = e.Next() {
		entry, ok := e.Value.(*lruEntry[K, V])
		if !ok || !visit(entry.key, entry.value) {
			return
		}
	}
}

// Len returns the number of entries.
func (l *LRU[K, V]) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.order.Len()
}
