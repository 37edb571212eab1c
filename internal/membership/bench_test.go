package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// BenchmarkLoadAge measures in virtual time, without message loss, how old the
// news of a pool's load is at the other hosts when each holder publishes the
// load of its pools every 5 s, the longest interval of the holders.
func BenchmarkLoadAge(b *testing.B) {
	for _, c := range []struct{ hosts, pools int }{{16, 8}, {16, 196}, {32, 196}, {64, 49}, {64, 98}, {64, 196}, {128, 196}} {
		b.Run(fmt.Sprintf("hosts=%d/pools=%d", c.hosts, c.pools), func(b *testing.B) {
			for range b.N {
				ages := loadAges(c.hosts, c.pools)
				b.ReportMetric(ages[len(ages)/2].Seconds(), "s-p50")
				b.ReportMetric(ages[len(ages)*99/100].Seconds(), "s-p99")
			}
		})
	}
}

func loadAges(hosts, pools int) []time.Duration {
	r := rand.New(rand.NewPCG(1, 1))
	byName, list := map[string]*Detector{}, []Candidate{}
	var all []*Detector
	for i := range hosts {
		d := detector(fmt.Sprintf("eh%d", i), uint64(i+1))
		byName[d.self.Name], all = d, append(all, d)
		list = append(list, Candidate{Name: d.self.Name, Address: d.self.Address, DataCentre: "dc"})
	}
	for _, d := range all {
		d.SetCandidates(1, list)
	}
	heard := make([]map[int]clock.Time, hosts) // by host: time of the newest news of a pool
	for i := range heard {
		heard[i] = map[int]clock.Time{}
	}
	note := func(host int, news []wire.Update) {
		for _, u := range news {
			if u.Load != nil { // the load carries its time in MedianMicros
				heard[host][u.Load.Pool.Shard] = clock.Time(u.Load.MedianMicros * int64(time.Microsecond))
			}
		}
	}
	index := map[string]int{}
	for i, d := range all {
		index[d.self.Name] = i
	}
	end := clock.Time(2 * time.Minute)
	for now := clock.Time(Period); now < end; now = now.Add(Period) {
		round := int(now / clock.Time(Period))
		for p := range pools {
			if (round+p)%int(5*time.Second/Period) == 0 {
				all[p%hosts].Publish(wire.Update{Load: &wire.PoolLoad{
					Pool: manifest.PoolID{Service: "service", DataCentre: "dc", Shard: p}, MedianMicros: time.Duration(now).Microseconds(),
				}})
			}
		}
		for _, i := range r.Perm(hosts) {
			for _, ping := range all[i].Tick(now) {
				j := index[ping.Name]
				note(j, all[j].Receive(now, all[i].Updates(ping.Name)))
				all[j].Heard(now, all[i].self.Name, all[i].self.Incarnation)
				note(i, all[i].Receive(now, all[j].Updates(all[i].self.Name)))
				all[i].Heard(now, ping.Name, all[j].self.Incarnation)
			}
		}
	}
	var ages []time.Duration
	for i := range hosts {
		for p := range pools {
			if p%hosts != i {
				ages = append(ages, end.Sub(heard[i][p]))
			}
		}
	}
	slices.Sort(ages)
	return ages
}
