package precedence

import "testing"

// BenchmarkJudge measures the cost that the order adds to a request.
func BenchmarkJudge(b *testing.B) {
	var o Order
	b.ReportAllocs()
	for b.Loop() {
		o.Judge(Request{AccountPriority: 5, RoutePriority: 5, Draw: Draw{Exempt: 0.5}})
	}
}
