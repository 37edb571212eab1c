package fake

import (
	"runtime"
	"syscall"
	"time"
)

// ProcessorTime returns the processor time of this process, user and system.
func CPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// LiveBytes returns the bytes of live heap objects and of goroutine stacks.
func HeapAndStackBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // the first one only moves sync.Pool contents aside
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
