package fake

import (
	"runtime"
	"syscall"
	"time"
)

// CPUTime returns the user and system CPU time of this process.
func CPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// HeapAndStackBytes returns the bytes of live heap objects and of goroutine stacks.
func HeapAndStackBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // the first collection does not yet free the contents of sync.Pool
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
