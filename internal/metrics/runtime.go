package metrics

import (
	"bytes"
	"expvar"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"
)

// Process holds resource usage of this process.
type Process struct {
	ResidentBytes int64   `json:"resident_bytes"` // 0 if the system does not report it
	Goroutines    int64   `json:"goroutines"`
	CPUSeconds    float64 `json:"cpu_seconds"` // user and system time since process start
}

// ReadProcess reads the resource usage from the system.
func ReadProcess() Process {
	return Process{ResidentBytes: residentBytes(), Goroutines: int64(runtime.NumGoroutine()), CPUSeconds: cpuTime().Seconds()}
}

// PublishProcess publishes the resource usage of this process as gauges under
// "process". Alert rules use process.resident_bytes, process.goroutines and
// process.cpu_millis. The last is an integer, so that a rule can use its rate.
func (c *Counters) PublishProcess() {
	m := new(expvar.Map).Init()
	m.Set("resident_bytes", expvar.Func(func() any { return residentBytes() }))
	m.Set("goroutines", expvar.Func(func() any { return int64(runtime.NumGoroutine()) }))
	m.Set("cpu_seconds", expvar.Func(func() any { return cpuTime().Seconds() }))
	m.Set("cpu_millis", expvar.Func(func() any { return cpuTime().Milliseconds() }))
	c.Set("process", m)
}

// residentBytes reads the resident set size, the second field of
// /proc/self/statm, which is in pages.
func residentBytes() int64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(raw)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
