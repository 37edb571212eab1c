package quota

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var debug = flag.Bool("quota.debug", false, "")

func (s *sim) debugDump() {
	if !*debug {
		return
	}
	for _, h := range s.hosts {
		if h.node != nil {
			r, k := h.node.size(h.clock())
			fmt.Println(h.i, h.dc, h.started, h.node.Counts(), r, k, h.node.fleetSize, h.node.older, h.node.cut, h.silent)
		}
	}
	for _, a := range s.accounts {
		p, at := a.worst()
		fmt.Println(a.name, a.limits, "offered", a.offered, "given", a.given, "sent", len(a.sent), "worst", p, at, "bound", a.bound(at))
		buckets := map[int]int{}
		for _, x := range a.sent {
			buckets[int(x/(250*time.Millisecond))]++
		}
		for i := range 80 {
			fmt.Print(buckets[i], " ")
		}
		fmt.Println()
	}
}

func TestDebug(t *testing.T) {
	if *debug {
		fmt.Println(simulate(*seed))
	}
}
