package container

import (
	"container/list"
	"sync"
)

// LRU is a map of bounded size that evicts the least recently used entry. Safe for
// concurrent use.
type LRU[K comparable, V any] struct {
	mu    sync.Mutex
	limit int
	order *list.List // front: most recently used
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

// Get returns the value for key and marks the entry as most recently used.
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

// Put stores value under key. If the map then exceeds its limit, the least recently
// used entry is evicted.
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

// Each calls visit for every entry, most recently used first, until visit returns
// false. The order of use is unchanged. visit must not call methods of l, since the
// lock is held.
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
