package quotas

import (
	"testing"

	"github.com/anvilfront/anvilfront/internal/wire"
)

// BenchmarkMessages measures the encoding and decoding of an ask and its grant, and reports
// their sizes.
func BenchmarkMessages(b *testing.B) {
	from := wire.Peer{Address: "10.0.131.217:7000", DataCentre: "npc-a", Incarnation: 1 << 31}
	ask := &wire.Heartbeat{From: from, Partial: true, QuotaAsks: []wire.QuotaAsk{{ID: 1 << 31, Account: 1 << 63, Waiting: 1, Ahead: 1, Seen: 1}}}
	grant := &wire.Heartbeat{From: from, Partial: true, QuotaGrants: []wire.QuotaGrant{{ID: 1 << 31, Granted: 1, Excess: 100}}}
	size := 0
	for b.Loop() {
		size = 0
		for _, m := range []*wire.Heartbeat{ask, grant} {
			raw, err := wire.EncodeHeartbeat(m)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := wire.DecodeHeartbeat(raw); err != nil {
				b.Fatal(err)
			}
			size += len(raw)
		}
	}
	b.ReportMetric(float64(size)/2, "B/message")
}
