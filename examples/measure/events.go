package main

import (
	"container/heap"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// scheduler runs functions in virtual time, ordered by their time and then by the
// order in which they were scheduled.
type scheduler struct {
	clock clock.Manual
	queue eventHeap
	count uint64
}

type event struct {
	at       clock.Time
	sequence uint64
	f        func()
}

func (e *scheduler) now() clock.Time { return e.clock.Now() }

// after schedules f to run after d.
func (e *scheduler) after(d time.Duration, f func()) {
	e.count++
	heap.Push(&e.queue, event{e.now().Add(max(d, 0)), e.count, f})
}

// every schedules f to run after first and then at intervals of d.
func (e *scheduler) every(first, d time.Duration, f func()) {
	e.after(first, func() { f(); e.every(d, d, f) })
}

// runUntil runs all functions that are scheduled before end.
func (e *scheduler) runUntil(end clock.Time) {
	for len(e.queue) > 0 && e.queue[0].at < end {
		next := heap.Pop(&e.queue).(event)
		e.clock.Set(next.at)
		next.f()
	}
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
